use toucanchute_proto::Incarnation;

/// Hashes a sequence of words into one; the result is the same on all routers.
pub(crate) fn mix(words: &[u64]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |sum, &w| {
        let mut x = sum ^ w.wrapping_mul(0xff51_afd7_ed55_8ccd);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    })
}

/// Hashes a text; the result is the same on all routers.
pub(crate) fn text(text: &str) -> u64 {
    text.bytes().fold(0, |sum, b| mix(&[sum, u64::from(b)]))
}

/// Returns the rendezvous hash of a member for `name`; the member with the greatest hash is first.
pub(crate) fn rendezvous(name: &str, id: Incarnation) -> u64 {
    mix(&[text(name), id.0])
}

/// Converts a member's rendezvous hash into its rank for weighted rendezvous hashing. The member
/// with the lowest rank comes first; over many names, a member comes first in proportion to its
/// share of the sum of all `weight`s.
pub(crate) fn weighted_rank(hash: u64, weight: f64) -> f64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / weight
}

/// Returns the weight of a host in the choice of routers that others depend on, such as owners of
/// accounts, by its processor time in thousandths of a core. All other routers send their requests
/// to the chosen one, so the weight rises steeply and duties gather on hosts with enough capacity.
pub(crate) fn host_weight(capacity: u32) -> f64 {
    f64::from(capacity.max(1)).powi(4)
}
