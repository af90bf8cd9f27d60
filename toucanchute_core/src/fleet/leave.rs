use toucanchute_proto::{Millis, fleet::MemberState};

use super::{Action, Fleet, drain::Drain, fault::Fault};

/// How long other routers may take to learn that this one leaves.
const NEWS_TIME: Millis = Millis(1_000);

impl Fleet {
    pub(super) fn start_drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.drain.leaving() {
            return;
        }
        let max_age = self.config().map_or(0, |c| c.routing.address_max_age_ms);
        let listed = self.published.was_ready() && !self.has(Fault::RefuseEarly);
        let wait = if listed {
            Millis(max_age) + NEWS_TIME
        } else {
            Millis(0)
        };
        self.drain = Drain::Accepting { until: now + wait };
        self.me.state = MemberState::Leaving;
        self.speak();
        self.push(None, out);
    }

    pub(super) fn advance_drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Drain::Accepting { until } = self.drain
            && now >= until
        {
            self.drain = Drain::Finishing;
            self.in_flight = None;
        }
        let busy = self.in_flight != Some(0) && !self.has(Fault::ExitBusy);
        let idle = !busy && self.published.refusing();
        if self.drain == Drain::Finishing && idle {
            self.drain = Drain::Returning;
            out.push(Action::ReturnGrants);
        }
    }

    pub(super) fn drained(&mut self, out: &mut Vec<Action>) {
        if self.drain != Drain::Returning {
            return;
        }
        self.drain = Drain::Exited;
        self.me.state = MemberState::Gone;
        self.speak();
        self.push(None, out);
        out.push(Action::Exit);
    }
}
