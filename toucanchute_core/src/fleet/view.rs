use toucanchute_proto::Millis;

/// Time to get what is known to be newer.
const FETCH_TIME: Millis = Millis(500);

/// When this router's view of configuration and withdrawals was last known to be current.
#[derive(Debug, Default)]
pub(super) struct View {
    /// When the platform last answered with a head that is in force here.
    head_at: Option<Millis>,
    /// When the platform last answered with its host list.
    hosts_at: Option<Millis>,
    /// Latest time at which the view was current, by the platform or a peer; it only rises.
    confirmed_at: Option<Millis>,
    /// Greatest version of the configuration that anybody told of.
    pub(super) newest_head: u64,
    /// Greatest version of the host list that anybody told of.
    pub(super) newest_hosts: u64,
    /// Since when peers have agreed that the platform is down for all.
    pub(super) outage_agreed_since: Option<Millis>,
    /// When peers last agreed so.
    pub(super) outage_agreed_at: Option<Millis>,
    /// Since when something newer has been known than is in force.
    behind_since: Option<Millis>,
    /// Whether the platform's service did not answer when last asked.
    head_down: bool,
    /// Whether the platform's host list did not answer when last asked.
    hosts_down: bool,
    /// When a ping was sent that a peer acknowledged.
    pub(super) acknowledged_at: Option<Millis>,
    /// When a peer last claimed that the platform is down for all.
    pub(super) peer_outage_at: Option<Millis>,
}

impl View {
    /// Takes in an answer to what the platform was asked at `requested_at`.
    pub(super) fn confirm_head(&mut self, requested_at: Millis) {
        self.head_at = self.head_at.max(Some(requested_at));
        self.head_down = false;
        self.update_confirmation();
    }

    /// Takes in an answer to what the platform was asked at `requested_at`.
    pub(super) fn confirm_hosts(&mut self, requested_at: Millis) {
        self.hosts_at = self.hosts_at.max(Some(requested_at));
        self.hosts_down = false;
        self.update_confirmation();
    }

    /// Takes in that these versions exist.
    pub(super) fn record_known_versions(&mut self, head: u64, hosts: u64) {
        self.newest_head = self.newest_head.max(head);
        self.newest_hosts = self.newest_hosts.max(hosts);
    }

    /// Takes in the versions in force.
    pub(super) fn record_versions_in_force(&mut self, now: Millis, head: u64, hosts: u64) {
        match self.newest_head > head || self.newest_hosts > hosts {
            true => _ = self.behind_since.get_or_insert(now),
            false => self.behind_since = None,
        }
    }

    /// Whether something newer has been known for longer than it takes to get.
    pub(super) fn behind(&self, now: Millis) -> bool {
        let since = self.behind_since;
        since.is_some_and(|at| now.since(at) >= FETCH_TIME)
    }

    /// Takes in that the view was current at `at`.
    pub(super) fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    pub(super) fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Time since the view was current.
    pub(super) fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Takes in that service or host list did not answer. Each has to answer to end that.
    pub(super) fn set_platform_down(&mut self) {
        self.head_down = true;
        self.hosts_down = true;
    }

    /// Takes in that the service answered with a head that is not in force here yet.
    pub(super) fn head_responded(&mut self) {
        self.head_down = false;
    }

    /// Takes in that the host list answered with a version older than one known here.
    pub(super) fn hosts_responded(&mut self) {
        self.hosts_down = false;
    }

    /// Whether service or host list does not answer.
    pub(super) fn is_platform_down(&self) -> bool {
        self.head_down || self.hosts_down
    }

    fn update_confirmation(&mut self) {
        if let (Some(head), Some(hosts)) = (self.head_at, self.hosts_at) {
            self.confirm(head.min(hosts));
        }
    }
}
