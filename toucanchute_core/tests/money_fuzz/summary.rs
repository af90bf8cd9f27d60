//! Counts of what happened in random walks.

/// Counts over one walk or several.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summary {
    pub(crate) reserved: u64,
    pub(crate) complete: u64,
    pub(crate) refused: u64,
    pub(crate) sent: u64,
    pub(crate) crashes: u64,
    pub(crate) forfeited: u64,
    pub(crate) lost: u64,
    pub(crate) entries: u64,
    pub(crate) transfers: u64,
    pub(crate) chunks: u64,
    pub(crate) drained: u64,
}

impl Summary {
    pub(crate) fn add(&mut self, other: &Summary) {
        self.reserved += other.reserved;
        self.complete += other.complete;
        self.refused += other.refused;
        self.sent += other.sent;
        self.crashes += other.crashes;
        self.forfeited += other.forfeited;
        self.lost += other.lost;
        self.entries += other.entries;
        self.transfers += other.transfers;
        self.chunks += other.chunks;
        self.drained += other.drained;
    }
}
