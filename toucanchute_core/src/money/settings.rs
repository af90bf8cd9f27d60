use toucanchute_proto::{Incarnation, config::Ledger};

use crate::ledger::{DEFAULT_SNAPSHOT_CHUNK_BYTES, Fault};

/// Settings of a [`Money`](super::Money) machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This run of this router.
    pub incarnation: Incarnation,
    /// The router's failure domain.
    pub failure_domain: String,
    /// Layout of the ledger and policy of grants.
    pub ledger: Ledger,
    /// Seed of the machine's random choices.
    pub seed: u64,
    /// Most bytes of a snapshot in one value of the platform's service; the same on all routers.
    pub part_bytes: usize,
    /// A deliberate fault, for tests of tests.
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Settings {
    /// Creates settings with the defaults of the ledger.
    #[must_use]
    pub fn new(incarnation: Incarnation, failure_domain: &str, seed: u64) -> Settings {
        Settings {
            incarnation,
            failure_domain: failure_domain.to_owned(),
            ledger: Ledger::default(),
            seed,
            part_bytes: DEFAULT_SNAPSHOT_CHUNK_BYTES,
            fault: None,
        }
    }
}
