use toucanchute_proto::{Millis, fleet::MemberState};

use super::{Action, Fleet, drain::DrainStage, fault::Fault};

/// Time for other routers to learn that this one is leaving.
const PROPAGATION_TIME: Millis = Millis(1_000);

impl Fleet {
    pub(super) fn start_drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.drain.is_leaving() {
            return;
        }
        let max_age = self.config().map_or(0, |c| c.routing.address_max_age_ms);
        let listed = self.published.was_ready() && !self.has_fault(Fault::RefuseEarly);
        let wait = if listed {
            Millis(max_age) + PROPAGATION_TIME
        } else {
            Millis(0)
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
