use toucanchute_proto::{Millis, config::Config, fleet::MemberState};

use super::{Action, Fleet, drain::DrainStage, fault::Fault};

/// Time for other routers to learn that this one is leaving.
const PROPAGATION_TIME: Millis = Millis(1_000);

impl Fleet {
    /// Returns how long a router that leaves still accepts new work: until the last address list
    /// that names it has expired.
    #[must_use]
    pub fn acceptance_time(config: &Config) -> Millis {
        Millis(config.routing.address_max_age_ms) + PROPAGATION_TIME
    }

    pub(super) fn start_drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.drain.is_leaving() {
            return;
        }
        let listed = self.published.was_ready() && !self.has_fault(Fault::RefuseEarly);
        let wait = match self.config() {
            Some(config) if listed => Fleet::acceptance_time(config),
            _ => Millis(0),
        };
        self.drain = DrainStage::Accepting { until: now + wait };
        self.me.state = MemberState::Leaving;
        self.announce_self();
        self.push(None, out);
    }

    pub(super) fn advance_drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let DrainStage::Accepting { until } = self.drain
            && now >= until
        {
            self.drain = DrainStage::Finishing;
            self.in_flight = None;
        }
        let busy = self.in_flight != Some(0) && !self.has_fault(Fault::ExitBusy);
        let idle = !busy && self.published.is_refusing();
        if self.drain == DrainStage::Finishing && idle {
            self.drain = DrainStage::Returning;
            out.push(Action::ReturnGrants);
        }
    }

    pub(super) fn finish_drain(&mut self, out: &mut Vec<Action>) {
        if self.drain != DrainStage::Returning {
            return;
        }
        self.drain = DrainStage::Exited;
        self.me.state = MemberState::Gone;
        self.announce_self();
        self.push(None, out);
        out.push(Action::Exit);
    }
}
