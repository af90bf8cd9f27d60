use std::fmt;

use super::PromptPart;

/// Identifiers of the parts of a prompt that other requests may share, in order: all parts but the
/// last.
///
/// It is displayed as hexadecimal numbers separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SharedParts(Vec<u64>);

impl SharedParts {
    pub(super) fn new(prompt: &[PromptPart]) -> SharedParts {
        let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        SharedParts(shared.iter().map(|p| p.id).collect())
    }

    pub(super) fn into_ids(self) -> Vec<u64> {
        self.0
    }
}

impl fmt::Display for SharedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, id) in self.0.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{id:x}")?;
        }
        Ok(())
    }
}
