use std::collections::BTreeSet;

use toucanchute_proto::{
    Digest,
    fleet::{Standing, Verdict},
};

/// Parts of prompts that share the blame for crashes with a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Rivals {
    /// No replica that was claimed for the part has crashed yet.
    #[default]
    Unknown,
    /// These parts may have caused each crash of a claimed replica that counts against the part. If there are
    /// none, no other part was in all of these runs.
    Shared(BTreeSet<Digest>),
    /// Nothing else can have caused one of these crashes.
    Named,
}

impl Rivals {
    /// Returns the rivals after one more crash of a claimed replica, which `others` may have caused too.
    pub(super) fn narrowed(&self, others: BTreeSet<Digest>) -> Rivals {
        match self {
            Rivals::Named => Rivals::Named,
            _ if others.is_empty() => Rivals::Named,
            Rivals::Unknown => Rivals::Shared(others),
            Rivals::Shared(known) => Rivals::Shared(known & &others),
        }
    }

    /// Returns what a verdict on a part says of its rivals.
    pub(super) fn received(v: &Verdict) -> Rivals {
        let legacy = v.standing == Standing::Quarantined && v.candidates.is_empty();
        if v.named || legacy {
            return Rivals::Named;
        }
        if v.candidates.is_empty() {
            return Rivals::Unknown;
        }
        let others = v.candidates.iter().filter(|&&c| c != v.digest);
        Rivals::Shared(others.copied().collect())
    }

    /// Returns the candidates to write into a verdict on `part`.
    pub(super) fn candidates(&self, part: Digest) -> Vec<Digest> {
        match self {
            Rivals::Unknown | Rivals::Named => Vec::new(),
            Rivals::Shared(others) => others.iter().copied().chain([part]).collect(),
        }
    }

    /// Whether further runs may tell the part from its rivals.
    pub(super) fn is_shared(&self) -> bool {
        matches!(self, Rivals::Shared(_))
    }
}
