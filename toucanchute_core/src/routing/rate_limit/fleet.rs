use std::collections::BTreeSet;

use toucanchute_proto::Incarnation;

use crate::{
    hash,
    routing::{FleetView, RouterState},
};

/// A host among which the issuer of a cold backend server's permits is chosen.
struct SteadyHost<'a> {
    name: &'a str,
    capacity: u32,
    /// Run of its router; `None` if that cannot be reached.
    alive: Option<Incarnation>,
}

impl SteadyHost<'_> {
    fn rank(&self, backend: &str) -> f64 {
        let hash = hash::mix(&[hash::text(backend), hash::text(self.name)]);
        hash::weighted_rank(hash, hash::host_weight(self.capacity))
    }
}

/// Chooses the issuer of each backend server's permits among the routers.
///
/// Routers with the same view of the fleet choose the same one without exchanging messages.
#[derive(Debug)]
pub(in crate::routing) struct IssuerChoice {
    me: Incarnation,
    view: FleetView,
    /// Number of hosts whose router is alive, this one included.
    alive_hosts: usize,
    /// Number of hosts whose router is alive or may be alive.
    known_hosts: usize,
}

impl IssuerChoice {
    /// Creates the choice of a router that knows no other.
    pub(in crate::routing) fn new(me: Incarnation) -> IssuerChoice {
        let view = FleetView::default();
        IssuerChoice {
            me,
            view,
            alive_hosts: 1,
            known_hosts: 1,
        }
    }

    pub(in crate::routing) fn set_view(&mut self, view: FleetView) {
        let hosts = |wanted: &dyn Fn(RouterState) -> bool| -> BTreeSet<&str> {
            let routers = view.routers.iter().filter(|r| wanted(r.state));
            routers.map(|r| r.host.as_str()).collect()
        };
        self.alive_hosts = hosts(&|state| state == RouterState::Alive).len() + 1;
        self.known_hosts = hosts(&|state| state != RouterState::Left).len() + 1;
        self.view = view;
    }

    /// Returns the router that issues the permits of a backend server; `None` if this router is
    /// leaving and knows no other.
    pub(in crate::routing) fn issuer(&self, backend: &str) -> Option<Incarnation> {
        let alive = self.view.routers.iter();
        let alive = alive.filter(|r| r.state == RouterState::Alive);
        let others = alive.map(|r| (r.incarnation, r.capacity));
        let me = (!self.view.leaving).then_some((self.me, self.view.capacity));
        let rank = |&(id, capacity): &(Incarnation, u32)| {
            hash::weighted_rank(hash::rendezvous(backend, id), hash::host_weight(capacity))
        };
        let first = others.chain(me).min_by(|a, b| rank(a).total_cmp(&rank(b)));
        first.map(|(id, _)| id)
    }

    /// Returns the router that issues the permits of a cold backend server; `None` if nobody may do so
    /// now.
    ///
    /// It is on the first of all hosts that are not known to have left, reachable or not, so that a host
    /// that is cut off is not replaced. It issues nothing unless it reaches more than half of them.
    pub(in crate::routing) fn steady_issuer(&self, backend: &str) -> Option<Incarnation> {
        let me = SteadyHost {
            name: &self.view.host,
            capacity: self.view.capacity,
            alive: Some(self.me),
        };
        let others = self.view.routers.iter();
        let others = others.filter(|r| r.state != RouterState::Left && r.host != self.view.host);
        let others = others.map(|r| SteadyHost {
            name: &r.host,
            capacity: r.capacity,
            alive: (r.state == RouterState::Alive).then_some(r.incarnation),
        });
        let hosts = others.chain((!self.view.leaving).then_some(me));
        // Of two runs on one host, which have the same rank, the one that is alive counts.
        let rank = |h: &SteadyHost<'_>| (h.rank(backend), h.alive.is_none());
        let first = hosts.min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        });
        first?.alive.filter(|_| self.has_majority())
    }

    /// Whether this router issues the permits of a cold backend server.
    pub(in crate::routing) fn is_steady_issuer(&self, backend: &str) -> bool {
        self.steady_issuer(backend) == Some(self.me)
    }

    fn has_majority(&self) -> bool {
        2 * self.alive_hosts > self.known_hosts
    }

    /// Whether this router issues the permits of a backend server.
    pub(in crate::routing) fn is_issuer(&self, backend: &str) -> bool {
        self.issuer(backend) == Some(self.me)
    }

    /// Returns the share of each limit that this router may grant: all of it if more than half of
    /// the known hosts are alive. Otherwise there may be another issuer on the other side of a
    /// partition.
    pub(in crate::routing) fn share(&self) -> f64 {
        match self.has_majority() {
            true => 1.0,
            false => self.alive_hosts as f64 / self.known_hosts as f64,
        }
    }
}
