use toucanchute_proto::Millis;

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainStage {
    /// No shutdown was requested.
    Running,
    /// New address lists omit the router, but it accepts work until the last list that has it
    /// expires.
    Accepting {
        /// When that list has expired.
        until: Millis,
    },
    /// It takes no new work and waits for the requests in progress.
    Finishing,
    /// It is returning its grants.
    Returning,
    /// Everything is done and the process ends.
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
