use toucanchute_proto::{Digest, fleet::Scope};

use crate::routing::{RoutingRequest, Target};

/// A request, or a part of prompts, under which replicas may crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::routing) struct SuspectKey {
    pub(in crate::routing) scope: Scope,
    /// The [`request_digest`] or the [`part_digest`].
    pub(in crate::routing) digest: Digest,
}

/// Returns the digest that identifies a customer's request, whichever of the customer's callers
/// sends it.
///
/// ```
/// use toucanchute_core::routing::request_digest;
/// use toucanchute_proto::Digest;
///
/// let body = Digest::new("/talk/1", b"hello");
/// assert_ne!(request_digest("north", body), request_digest("south", body));
/// ```
#[must_use]
pub fn request_digest(customer: &str, request: Digest) -> Digest {
    Digest::new(customer, &request.0.to_le_bytes())
}

/// Returns the digest that identifies a part of prompts for a target, whichever customer sends it.
/// Another target runs other software or weights, which the part may not harm.
///
/// ```
/// use toucanchute_core::routing::{Target, part_digest};
///
/// let (small, large) = (Target::Model("small".into()), Target::Model("large".into()));
/// assert_ne!(part_digest(&small, 7), part_digest(&large, 7));
/// ```
#[must_use]
pub fn part_digest(target: &Target, part: u64) -> Digest {
    let (Target::Model(name) | Target::Service(name)) = target;
    Digest::new(name, &part.to_le_bytes())
}

impl SuspectKey {
    /// Returns the key of a request.
    pub(in crate::routing) fn request(req: &RoutingRequest) -> SuspectKey {
        SuspectKey {
            scope: Scope::Request,
            digest: request_digest(&req.customer, req.digest),
        }
    }

    /// Returns the key of a part of prompts.
    pub(in crate::routing) fn part(digest: Digest) -> SuspectKey {
        let scope = Scope::Part;
        SuspectKey { scope, digest }
    }

    /// Returns the keys of a request and of the parts that its prompt shares with others.
    pub(in crate::routing) fn all(req: &RoutingRequest) -> impl Iterator<Item = SuspectKey> {
        let parts = req.parts.iter().copied().map(SuspectKey::part);
        std::iter::once(SuspectKey::request(req)).chain(parts)
    }
}
