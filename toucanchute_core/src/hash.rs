use toucanchute_proto::Incarnation;

/// Mixes words into one, the same on all routers.
pub(crate) fn mix(words: &[u64]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |sum, &w| {
        let mut x = sum ^ w.wrapping_mul(0xff51_afd7_ed55_8ccd);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    })
}

/// Hashes a text, the same on all routers.
pub(crate) fn text(text: &str) -> u64 {
    text.bytes().fold(0, |sum, b| mix(&[sum, u64::from(b)]))
}

/// Rendezvous weight of a member for a name; the greatest wins.
pub(crate) fn rendezvous(name: &str, id: Incarnation) -> u64 {
    mix(&[text(name), id.0])
}

/// Turns a member's rendezvous hash into its place in the order for a name, in which a member stands
/// first as often as its share of all `weight`s tells; the least wins.
pub(crate) fn weighted_rank(hash: u64, weight: f64) -> f64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / weight
}
