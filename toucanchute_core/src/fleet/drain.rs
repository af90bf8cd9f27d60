use toucanchute_proto::Millis;

/// How far a graceful leave has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainStage {
    /// The router stays.
    Running,
    /// It is in no new address list but goes on accepting until the last one handed out expires.
    Accepting {
        /// When the last list has expired.
        until: Millis,
    },
    /// It takes no new work and finishes what is in progress.
    Finishing,
    /// It returns its grants.
    Returning,
    /// The process ends.
    Exited,
}

impl DrainStage {
    pub(super) fn is_leaving(self) -> bool {
        self != DrainStage::Running
    }

    /// Whether new work is refused.
    pub(super) fn refuses_work(self) -> bool {
        matches!(
            self,
            DrainStage::Finishing | DrainStage::Returning | DrainStage::Exited
        )
    }
}
