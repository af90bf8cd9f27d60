use toucanchute_proto::Millis;

/// Time in which a router is expected to fetch a version that it knows to exist.
const FETCH_TIME: Millis = Millis(500);

/// Records when this router's view of configuration and withdrawals was last known to be current.
#[derive(Debug, Default)]
pub(super) struct View {
    /// When the last request was sent to which the platform replied with a head that is in force
    /// here.
    head_at: Option<Millis>,
    /// When the last request was sent to which the platform replied with its host list.
    hosts_at: Option<Millis>,
    /// Latest time at which the platform or a peer confirmed that the view was current. It never
    /// decreases.
    confirmed_at: Option<Millis>,
    /// Greatest version of the configuration that the platform or a peer reported.
    pub(super) newest_head: u64,
    /// Greatest version of the host list that the platform or a peer reported.
    pub(super) newest_hosts: u64,
    /// Since when the routers have agreed that none of them reaches the platform; absent if they do
    /// not agree now.
    pub(super) outage_agreed_since: Option<Millis>,
    /// When the routers last agreed so.
    pub(super) outage_agreed_at: Option<Millis>,
    /// Since when a version has been known that is newer than the one in force.
    behind_since: Option<Millis>,
    /// Whether a request to the platform has failed since its service last replied.
    head_down: bool,
    /// Whether a request to the platform has failed since its host list was last read.
    hosts_down: bool,
    /// When the latest ping was sent that a peer acknowledged.
    pub(super) acknowledged_at: Option<Millis>,
    /// When the latest ping was sent to which a peer replied that no router reaches the platform.
    pub(super) peer_outage_at: Option<Millis>,
}

impl View {
    /// Records that the head read by the request of `requested_at` is in force here.
    pub(super) fn confirm_head(&mut self, requested_at: Millis) {
        self.head_at = self.head_at.max(Some(requested_at));
        self.head_down = false;
        self.update_confirmation();
    }

    /// Records that the host list read by the request of `requested_at` is in force here.
    pub(super) fn confirm_hosts(&mut self, requested_at: Millis) {
        self.hosts_at = self.hosts_at.max(Some(requested_at));
        self.hosts_down = false;
        self.update_confirmation();
    }

    /// Records that these versions exist.
    pub(super) fn record_known_versions(&mut self, head: u64, hosts: u64) {
        self.newest_head = self.newest_head.max(head);
        self.newest_hosts = self.newest_hosts.max(hosts);
    }

    /// Records the versions in force, and since when a newer one has been known.
    pub(super) fn record_versions_in_force(&mut self, now: Millis, head: u64, hosts: u64) {
        match self.newest_head > head || self.newest_hosts > hosts {
            true => _ = self.behind_since.get_or_insert(now),
            false => self.behind_since = None,
        }
    }

    /// Whether a newer version has been known for longer than it takes to fetch.
    pub(super) fn is_behind(&self, now: Millis) -> bool {
        let since = self.behind_since;
        since.is_some_and(|at| now.since(at) >= FETCH_TIME)
    }

    /// Records that the view was current at `at`.
    pub(super) fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    pub(super) fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Time since the view was last known to be current; absent if it never was.
    pub(super) fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Records that a request for the head or the host list failed. The platform counts as down
    /// until both have been read again.
    pub(super) fn set_platform_down(&mut self) {
        self.head_down = true;
        self.hosts_down = true;
    }

    /// Records that the service replied with a head that is not in force here yet.
    pub(super) fn head_responded(&mut self) {
        self.head_down = false;
    }

    /// Records that the platform replied with a host list, whatever its version.
    pub(super) fn hosts_responded(&mut self) {
        self.hosts_down = false;
    }

    /// Whether a request to the platform has failed since the service last replied, or since the
    /// host list was last read.
    pub(super) fn is_platform_down(&self) -> bool {
        self.head_down || self.hosts_down
    }

    fn update_confirmation(&mut self) {
        if let (Some(head), Some(hosts)) = (self.head_at, self.hosts_at) {
            self.confirm(head.min(hosts));
        }
    }
}
