use std::net::SocketAddr;

use rand::seq::SliceRandom;
use toucanchute_proto::{
    Millis,
    fleet::{Member, MemberState},
};

use super::{Action, Fleet, MemberView, NotReady, fault::Fault, members::MemberRecord};
use crate::hash;

/// Greatest number of addresses in a list for callers.
const MAX_ADDRESSES: usize = 16;

/// Time after which the order of the addresses changes, to spread callers that reuse a list.
const SHUFFLE_PERIOD: Millis = Millis(1_000);

/// Shortest time between two lists of members. It bounds their number, since the members of a large
/// fleet change often.
const MEMBERS_PERIOD: Millis = Millis(100);

/// Time after an outage in which routers that took work during it may continue to, before they have
/// received what changed.
const RECOVERY_TIME: Millis = Millis(1_000);

/// Time in which all routers learn that one of them has read the store.
const PROPAGATION_TIME: Millis = Millis(1_500);

/// Number of peers that have to report that they cannot reach the store.
const MIN_SAMPLE: usize = 5;

/// Greatest age of the ping to which such a report replied.
const MAX_SAMPLE_AGE: Millis = Millis(2_000);

/// Time for which an outage has to be agreed before a router that had stopped takes work again.
const REJOIN_DELAY: Millis = Millis(1_000);

/// What this machine last published to the rest of the router, so that only changes are published.
#[derive(Debug, Default)]
pub(super) struct Published {
    ready: Option<Result<(), NotReady>>,
    /// Whether the router has ever been ready.
    was_ready: bool,
    addresses: Vec<SocketAddr>,
    next_shuffle: Millis,
    /// Hash of the member table that was last published.
    members: u64,
    /// Earliest time of the next list of members.
    next_members: Millis,
}

impl Published {
    /// Whether an address list that contains this router may have been handed out.
    pub(super) fn was_ready(&self) -> bool {
        self.was_ready
    }

    /// Whether the last published readiness refuses new work because of a shutdown.
    pub(super) fn is_refusing(&self) -> bool {
        matches!(self.ready, Some(Err(NotReady::Draining { .. })))
    }
}

impl Fleet {
    /// Publishes what changed: readiness, members and addresses.
    pub(super) fn publish(&mut self, now: Millis, out: &mut Vec<Action>) {
        let head = self.head().map_or(0, |h| h.version);
        self.view
            .record_versions_in_force(now, head, self.hosts_version());
        self.observe_outage(now);
        let ready = self.ready(now);
        if self.published.ready != Some(ready) {
            self.published.ready = Some(ready);
            self.published.was_ready |= ready.is_ok();
            self.published.next_shuffle = now;
            out.push(Action::Readiness(ready));
        }
        let members = self.table_hash();
        if self.published.members != members && now >= self.published.next_members {
            self.published.next_members = now + MEMBERS_PERIOD;
            self.published.members = members;
            self.published.next_shuffle = now;
            out.push(Action::Members(self.member_views()));
        }
        if now >= self.published.next_shuffle {
            self.published.next_shuffle = now + SHUFFLE_PERIOD;
            self.publish_addresses(ready.is_ok(), out);
        }
    }

    fn publish_addresses(&mut self, ready: bool, out: &mut Vec<Action>) {
        let addresses = self.addresses(ready);
        if self.published.addresses != addresses {
            self.published.addresses.clone_from(&addresses);
            out.push(Action::Addresses(addresses));
        }
    }

    fn ready(&self, now: Millis) -> Result<(), NotReady> {
        if self.drain.refuses_work() {
            let elsewhere = self.elsewhere();
            return Err(NotReady::Draining { elsewhere });
        }
        let unlisted = self.follows_registrations() && self.registrations.revision() == 0;
        if self.config.is_none() || unlisted {
            return Err(NotReady::Starting);
        }
        let fresh = self
            .view
            .age(now)
            .is_some_and(|age| age <= self.view_bound() || self.has_fault(Fault::IgnoreAge));
        if fresh || self.stays_ready_in_outage(now) {
            return Ok(());
        }
        match self.view.confirmed_at() {
            None => Err(NotReady::Starting),
            Some(_) => Err(NotReady::StaleView {
                elsewhere: self.elsewhere(),
            }),
        }
    }

    fn observe_outage(&mut self, now: Millis) {
        match self.outage_agreed(now) {
            true => {
                self.discovery.record_agreed_outage(now);
                self.view.outage_agreed_at = Some(now);
                self.view.outage_agreed_since.get_or_insert(now);
            }
            false => self.view.outage_agreed_since = None,
        }
    }

    /// Whether an agreed outage lets this router take work although its view is stale. A router
    /// that had stopped first waits for its peers to send what it missed. When the outage ends, a
    /// router that took work continues for some time, in which it receives what changed from the
    /// first router that reaches the platform again.
    fn stays_ready_in_outage(&self, now: Millis) -> bool {
        let ready = self.published.ready == Some(Ok(()));
        let agreed = self.view.outage_agreed_since;
        let ended = self.view.outage_agreed_at.filter(|_| agreed.is_none());
        let just_ended = ended.is_some_and(|at| now.since(at) <= RECOVERY_TIME);
        agreed.is_some_and(|at| ready || now.since(at) >= REJOIN_DELAY)
            || ready && just_ended && !self.view.is_behind(now)
    }

    /// Whether no router can reach the platform, so that no newer configuration or withdrawal can
    /// have been accepted.
    ///
    /// Each member that was not gone when the view was last confirmed must have reported that it
    /// cannot reach the platform. The lost members must be a minority, because they may be on the
    /// platform's side of a partition.
    pub(super) fn outage_agreed(&self, now: Millis) -> bool {
        let acknowledged = self.view.acknowledged_at;
        let recently = acknowledged.is_some_and(|at| now.since(at) <= self.view_bound());
        let alone = self.members.live().next().is_none();
        if !self.view.is_platform_down() || self.view.is_behind(now) || !(recently || alone) {
            return false;
        }
        if self.has_fault(Fault::OutageAlone) {
            return true;
        }
        if self.sample_shows_outage(now) {
            return true;
        }
        let Some(confirmed) = self.view.confirmed_at() else {
            let reported = self.view.peer_outage_at;
            return reported.is_some_and(|at| now.since(at) <= self.view_bound());
        };
        let (mut reachable, mut lost) = (1, 0);
        for MemberRecord { member, since, .. } in self.members.iter().filter(|e| !e.ended) {
            let gone_before = member.state == MemberState::Gone && *since <= confirmed;
            if !member.outage && !gone_before {
                return false;
            }
            match member.state {
                MemberState::Alive | MemberState::Leaving => reachable += 1,
                MemberState::Suspect | MemberState::Gone => lost += 1,
            }
        }
        lost < reachable
    }

    /// Whether a router of a large fleet can conclude from a sample of its peers that no router
    /// reaches the store.
    ///
    /// A router that can reach the store reads it before its view gets older than
    /// [`Fleet::store_read_mode`] allows, and the others learn of that soon. So there is an outage
    /// if no confirmation has arrived for longer than that, and all peers with a recent report
    /// cannot reach the store.
    fn sample_shows_outage(&self, now: Millis) -> bool {
        let Some(max_age) = self.max_view_age() else {
            return false;
        };
        let silent = self.view.age(now);
        if silent.is_none_or(|age| age < max_age + PROPAGATION_TIME) {
            return false;
        }
        let reports = self.links.platform_reports.values();
        let recent: Vec<bool> = reports
            .filter(|(at, _)| now.since(*at) <= MAX_SAMPLE_AGE)
            .map(|(_, lost)| *lost)
            .collect();
        recent.len() >= MIN_SAMPLE && recent.iter().all(|&lost| lost) && self.is_in_majority()
    }

    /// Whether the lost members are a minority. If they were not, they might be the platform's side
    /// of a partition.
    fn is_in_majority(&self) -> bool {
        let gone_before = |e: &MemberRecord| {
            let confirmed = self.view.confirmed_at();
            e.member.state == MemberState::Gone && confirmed.is_some_and(|at| e.since <= at)
        };
        let counted = self.members.iter().filter(|e| !e.ended && !gone_before(e));
        let (reachable, lost): (Vec<&MemberRecord>, Vec<&MemberRecord>) = counted
            .partition(|e| matches!(e.member.state, MemberState::Alive | MemberState::Leaving));
        lost.len() < reachable.len() + 1
    }

    fn member_views(&self) -> Vec<MemberView> {
        let view = |e: &MemberRecord| {
            let m = &e.member;
            Some(MemberView {
                incarnation: m.incarnation,
                host: m.host.clone(),
                failure_domain: m.failure_domain.clone(),
                region: m.region.clone(),
                caller_address: m.caller_address.parse().ok()?,
                peer_address: m.peer_address.parse().ok()?,
                capacity: m.capacity,
                bandwidth: m.bandwidth,
                list_share: m.list_share,
                state: m.state,
                ended: e.ended,
                outage: m.outage,
            })
        };
        self.members.iter().filter_map(view).collect()
    }

    /// Addresses for callers: routers in this one's failure domain, including itself if it takes
    /// new callers, and then the others. Both groups are in random order.
    fn addresses(&mut self, ready: bool) -> Vec<SocketAddr> {
        let alive = self
            .members
            .live()
            .filter(|m| m.state == MemberState::Alive);
        let (mut near, mut far): (Vec<&Member>, Vec<&Member>) =
            alive.partition(|m| m.failure_domain == self.identity.failure_domain);
        let leaving = self.drain.is_leaving() && !self.has_fault(Fault::StayListed);
        let listed = ready && !leaving;
        let me = listed.then_some(&self.me);
        near.extend(me);
        near.shuffle(&mut self.rng);
        far.shuffle(&mut self.rng);
        let all = near.into_iter().chain(far);
        all.filter_map(|m| m.caller_address.parse().ok())
            .take(MAX_ADDRESSES)
            .collect()
    }

    /// Caller address of the router that is most likely to take the work that this one refuses.
    fn elsewhere(&self) -> Option<SocketAddr> {
        let order = |m: &&Member| {
            let same = m.failure_domain == self.identity.failure_domain;
            let spread = hash::mix(&[self.identity.incarnation.0, m.incarnation.0]);
            (m.state, same, spread)
        };
        let other = self.members.iter().map(|e| &e.member).min_by_key(order)?;
        other.caller_address.parse().ok()
    }
}
