use toucanchute_proto::{Incarnation, config::Ledger};

use crate::ledger::{DEFAULT_SNAPSHOT_CHUNK_BYTES, Fault};

/// Settings of a [`Money`](super::Money) state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Incarnation of this run of the router.
    pub incarnation: Incarnation,
    /// The router's failure domain.
    pub failure_domain: String,
    /// Layout of the ledger, and the policy for grants, witnesses and reclaims.
    pub ledger: Ledger,
    /// Seed of the state machine's random choices.
    pub seed: u64,
    /// Largest part of a snapshot that is stored under one key of the platform's service, in bytes.
    /// All routers must use the same value.
    pub part_bytes: usize,
    /// A deliberate fault, by which tests show that their checks can fail.
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Settings {
    /// Creates settings with the default ledger layout and policy.
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
