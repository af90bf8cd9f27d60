use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};
use toucanchute_proto::{
    Bytes, Digest, Incarnation, Millis,
    config::{Config, Routing},
    fleet::{BackendHint, Head, Member, MemberState, Standing, Verdict},
};

use crate::{discovery::Discovery, placement::FULL_SHARE};

use super::{
    Action, Event,
    drain::DrainStage,
    evacuations::Evacuations,
    fault::Fault,
    hosts::Hosts,
    links::{Links, Probe},
    members::Members,
    publish::Published,
    registrations::Registrations,
    rumors::Rumors,
    store_reads::ReadPolicy,
    view::View,
};

/// Identity and addresses of one run of a router, and the routers that it contacts first.
#[derive(Clone, Debug)]
pub struct RouterIdentity {
    /// Identifies this run of the router.
    pub incarnation: Incarnation,
    /// Name of its host.
    pub host: String,
    /// Failure domain of its host.
    pub failure_domain: String,
    /// Region of its host.
    pub region: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// Processor capacity of its host, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
    /// Bandwidth of its host's link in each direction, in kbit/s; 0 if unknown.
    pub bandwidth: u32,
    /// Peer addresses of routers through which it finds the other members.
    pub seeds: Vec<SocketAddr>,
}

/// State machine that maintains one router's view of the fleet.
///
/// ```
/// use toucanchute_core::fleet::{Action, Event, Fleet, RouterIdentity};
/// use toucanchute_proto::{Digest, Incarnation, Millis, config::Config};
///
/// let mut fleet = Fleet::new(RouterIdentity {
///     incarnation: Incarnation(1),
///     host: "bilbao-1".to_owned(),
///     failure_domain: "bilbao".to_owned(),
///     region: "north".to_owned(),
///     caller_address: "192.0.2.1:8000".parse().unwrap(),
///     peer_address: "192.0.2.1:8001".parse().unwrap(),
///     capacity: 500,
///     bandwidth: 200_000,
///     seeds: Vec::new(),
/// }, 7);
/// let mut out = Vec::new();
/// let head = Event::ConfigHead { version: 1, digest: Digest(9), requested_at: Millis(0) };
/// fleet.handle(Millis(0), head, &mut out);
/// assert!(out.iter().any(|a| matches!(a, Action::FetchConfig)));
/// ```
#[derive(Debug)]
pub struct Fleet {
    pub(super) identity: RouterIdentity,
    /// This router's own member record, as sent to the others. Its update number never decreases.
    pub(super) me: Member,
    pub(super) members: Members,
    pub(super) links: Links,
    /// Pings that are not yet acknowledged, by sequence number.
    pub(super) probes: BTreeMap<u64, Probe>,
    pub(super) last_seq: u64,
    pub(super) rumors: Rumors,
    /// Configuration in force and its digest. Each has a greater version than the one before.
    pub(super) config: Option<(Arc<Config>, Digest)>,
    /// The configuration in force as sent to peers; absent until a peer has sent or requested it.
    pub(super) packed_config: Option<Bytes>,
    pub(super) hosts: Hosts,
    pub(super) evacuations: Evacuations,
    /// When to read registrations from the store; absent if host lists are used instead.
    pub(super) read_policy: Option<ReadPolicy>,
    pub(super) registrations: Registrations,
    pub(super) discovery: Discovery,
    /// When the registrations were last passed to `discovery`.
    pub(super) listed_at: Millis,
    /// `confirmed_at` of the view at that time.
    pub(super) listed_confirmation: Option<Millis>,
    pub(super) next_registration_fetch: Millis,
    pub(super) view: View,
    pub(super) drain: DrainStage,
    /// Requests in progress, as reported since this router began to refuse new work; absent before
    /// the first such report.
    pub(super) in_flight: Option<u64>,
    pub(super) published: Published,
    /// Time of the event that is handled.
    pub(super) now: Millis,
    pub(super) next_gossip: Millis,
    pub(super) next_connect: Millis,
    pub(super) next_config_fetch: Millis,
    pub(super) rng: SmallRng,
    #[cfg(test)]
    pub(super) fault: Option<Fault>,
}

impl Fleet {
    /// Longest time between two [`Event::Tick`]s.
    pub const TICK: Millis = Millis(100);

    /// Creates the state machine of one router. `seed` is that of its random choices.
    #[must_use]
    pub fn new(identity: RouterIdentity, seed: u64) -> Fleet {
        let me = Member {
            incarnation: identity.incarnation,
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
            region: identity.region.clone(),
            caller_address: identity.caller_address.to_string(),
            peer_address: identity.peer_address.to_string(),
            state: MemberState::Alive,
            update: 0,
            outage: false,
            capacity: identity.capacity,
            bandwidth: identity.bandwidth,
            list_share: FULL_SHARE,
        };
        Fleet {
            identity,
            me,
            members: Members::default(),
            links: Links::default(),
            probes: BTreeMap::new(),
            last_seq: 0,
            rumors: Rumors::default(),
            config: None,
            packed_config: None,
            hosts: Hosts::default(),
            evacuations: Evacuations::default(),
            read_policy: None,
            registrations: Registrations::default(),
            discovery: Discovery::default(),
            listed_at: Millis::default(),
            listed_confirmation: None,
            next_registration_fetch: Millis::default(),
            view: View::default(),
            drain: DrainStage::Running,
            in_flight: None,
            published: Published::default(),
            now: Millis::default(),
            next_gossip: Millis::default(),
            next_connect: Millis::default(),
            next_config_fetch: Millis::default(),
            rng: SmallRng::seed_from_u64(seed),
            #[cfg(test)]
            fault: None,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.drain == DrainStage::Exited {
            return;
        }
        self.now = now;
        self.record_start(now);
        match event {
            Event::PeerUp(member) => self.peer_up(now, &member, out),
            Event::PeerDown(id) => self.peer_down(now, id, out),
            Event::Message { from, message } => self.handle_message(now, from, *message, out),
            Event::Config { config, digest } => self.apply_config(config, digest, out),
            Event::ConfigHead {
                version,
                digest,
                requested_at,
            } => self.handle_config_head(requested_at, Head { version, digest }, out),
            Event::HostList {
                version,
                hosts,
                requested_at,
            } => self.handle_host_list(requested_at, version, &hosts, out),
            Event::RouterAddresses(routers) => self.set_router_addresses(routers),
            Event::Registrations { body, requested_at } => {
                self.view.confirm_hosts(requested_at);
                self.set_outage(self.view.is_platform_down());
                self.apply_registrations(now, body, None, out);
            }
            Event::Evacuations(list) => self.apply_evacuations(now, list, None, out),
            Event::PlatformDown => self.platform_down(),
            Event::LoadReport(load) => self.handle_load_report(load, out),
            Event::ShareLoad(load) => drop(self.rumors.loads.add_own(&load)),
            Event::Verdicts(verdicts) => self.handle_own_verdicts(&verdicts, out),
            Event::Hint(hint) => self.handle_own_hint(now, &hint, out),
            Event::StoredQuarantines(verdicts) => self.restore_quarantines(now, verdicts, out),
            Event::ListShare(share) => self.set_list_share(share),
            Event::InFlight(count) => self.set_in_flight(count),
            Event::Drain => self.start_drain(now, out),
            Event::GrantsReturned => self.finish_drain(out),
            Event::Tick => self.tick(now, out),
        }
        self.advance_drain(now, out);
        self.publish(now, out);
    }

    // Queries

    /// When configuration and withdrawals were last known to be current, according to a reply of
    /// the platform to this router or to another one.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.view.confirmed_at()
    }

    /// Whether this router and its peers agree that none of them reaches the platform.
    #[must_use]
    pub fn is_outage_agreed(&self, now: Millis) -> bool {
        self.outage_agreed(now)
    }

    /// Whether this router has to read head and host list from the platform itself instead of
    /// receiving them from peers. Where registrations replace the host list, use
    /// [`Fleet::store_read_mode`] instead.
    #[must_use]
    pub fn reads_platform(&self, now: Millis) -> bool {
        let stale = self.view.age(now).is_none_or(|age| age > WATCH_AGE);
        stale
            || self.view.is_platform_down()
            || self.is_on_duty(&self.identity.failure_domain, true)
    }

    /// Whether this router has to poll the backend server `name` for its load.
    #[must_use]
    pub fn polls_load(&self, name: &str) -> bool {
        self.is_on_duty(name, false)
    }

    /// How long a view counts as current after its last confirmation.
    pub(super) fn view_bound(&self) -> Millis {
        let bound = self.config().map(|c| c.routing.view_bound_ms);
        Millis(bound.unwrap_or_else(|| Routing::default().view_bound_ms))
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref().map(|(c, _)| c)
    }

    /// This router's own member record, as sent in its hello to a peer.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Number of known members in any state, without this router.
    #[must_use]
    pub fn known_members(&self) -> usize {
        self.members.iter().count()
    }

    /// Whether this router is one of the [`DUTY_SHARE`] live members that are responsible for
    /// `name` by rendezvous hashing. With `in_domain`, only members of its failure domain count.
    fn is_on_duty(&self, name: &str, in_domain: bool) -> bool {
        let own_weight = crate::hash::rendezvous(name, self.identity.incarnation);
        let eligible = |m: &&Member| !in_domain || m.failure_domain == self.identity.failure_domain;
        let ahead = self
            .members
            .live()
            .filter(|m| m.state != MemberState::Suspect)
            .filter(eligible)
            .filter(|m| crate::hash::rendezvous(name, m.incarnation) > own_weight);
        ahead.take(DUTY_SHARE).count() < DUTY_SHARE
    }

    // Configuration and platform

    /// Puts a configuration in force unless the one in force has the same or a greater version.
    pub(super) fn apply_config(
        &mut self,
        config: Arc<Config>,
        digest: Digest,
        out: &mut Vec<Action>,
    ) {
        let old = self.head().is_some_and(|h| h.version >= config.version);
        if old && !self.has_fault(Fault::AcceptOlder) {
            return;
        }
        self.config = Some((config.clone(), digest));
        self.packed_config = None;
        self.update_withdrawn(out);
        out.push(Action::ApplyConfig(config));
        self.push(None, out);
    }

    pub(super) fn head(&self) -> Option<Head> {
        self.config.as_ref().map(|(c, digest)| Head {
            version: c.version,
            digest: *digest,
        })
    }

    fn handle_config_head(&mut self, requested_at: Millis, head: Head, out: &mut Vec<Action>) {
        self.view.record_known_versions(head.version, 0);
        let version = self.head().map(|h| h.version);
        if version.is_none_or(|v| v < head.version) {
            out.push(Action::FetchConfig);
            self.view.head_responded();
        } else {
            self.view.confirm_head(requested_at);
        }
        self.set_outage(self.view.is_platform_down());
    }

    fn platform_down(&mut self) {
        self.view.set_platform_down();
        self.set_outage(true);
    }

    pub(super) fn set_outage(&mut self, outage: bool) {
        if self.me.outage != outage {
            self.me.outage = outage;
            self.announce_self();
        }
    }

    fn set_list_share(&mut self, share: u8) {
        if self.me.list_share != share {
            self.me.list_share = share;
            self.announce_self();
        }
    }

    /// Raises the update number of this router's member record and gossips the record again.
    pub(super) fn announce_self(&mut self) {
        self.me.update += 1;
        let fleet = self.known_members();
        self.rumors.add_member(self.me.incarnation, fleet);
    }

    fn set_in_flight(&mut self, count: u64) {
        self.in_flight = self.published.is_refusing().then_some(count);
    }

    /// Passes a report that this router polled to its dispatcher, and on to the other routers.
    fn handle_load_report(&mut self, load: toucanchute_proto::fleet::Load, out: &mut Vec<Action>) {
        if self.rumors.loads.add_own(&load) {
            out.push(Action::Load(load));
        }
    }

    /// Sends this router's verdicts to the others in one message to each peer.
    fn handle_own_verdicts(&mut self, verdicts: &[Verdict], out: &mut Vec<Action>) {
        let fleet = self.known_members();
        let mut changed = false;
        for v in verdicts {
            if self.rumors.add_verdict(v, fleet) {
                changed = true;
                self.store_quarantine(v, out);
            }
        }
        if changed {
            self.push(None, out);
        }
    }

    fn handle_own_hint(&mut self, now: Millis, hint: &BackendHint, out: &mut Vec<Action>) {
        let fleet = self.known_members();
        if self.rumors.add_hint(now, hint, fleet) {
            self.push(None, out);
        }
    }

    /// Requests that a quarantine be stored if this router is responsible for that.
    pub(super) fn store_quarantine(&self, v: &Verdict, out: &mut Vec<Action>) {
        if v.standing == Standing::Quarantined && self.is_on_duty(&v.digest.to_string(), false) {
            out.push(Action::StoreQuarantine(v.clone()));
        }
    }

    /// Applies quarantines that were read from the store.
    fn restore_quarantines(&mut self, now: Millis, verdicts: Vec<Verdict>, out: &mut Vec<Action>) {
        let fleet = self.known_members();
        let mut changed = false;
        for v in verdicts {
            if v.until > now && self.rumors.add_verdict(&v, fleet) {
                changed = true;
                out.push(Action::Verdict(v));
            }
        }
        if changed {
            self.push(None, out);
        }
    }
}

/// Number of routers that are responsible for the same duty.
const DUTY_SHARE: usize = 2;

/// Age of the view above which a router reads the platform itself.
const WATCH_AGE: Millis = Millis(1_000);
