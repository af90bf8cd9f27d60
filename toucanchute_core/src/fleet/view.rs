use toucanchute_proto::Millis;

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
    /// Since when the platform has not answered.
    pub(super) down_since: Option<Millis>,
    /// When a ping was sent that a peer acknowledged.
    pub(super) heard_at: Option<Millis>,
    /// When a peer last said that the platform is down for all.
    pub(super) peer_outage_at: Option<Millis>,
}

impl View {
    /// Takes in an answer to what the platform was asked at `asked`.
    pub(super) fn head_seen(&mut self, asked: Millis) {
        self.head_at = self.head_at.max(Some(asked));
        self.answered();
    }

    /// Takes in an answer to what the platform was asked at `asked`.
    pub(super) fn hosts_seen(&mut self, asked: Millis) {
        self.hosts_at = self.hosts_at.max(Some(asked));
        self.answered();
    }

    /// Takes in that these versions exist.
    pub(super) fn told(&mut self, head: u64, hosts: u64) {
        self.newest_head = self.newest_head.max(head);
        self.newest_hosts = self.newest_hosts.max(hosts);
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

    pub(super) fn platform_down(&mut self, now: Millis) {
        self.down_since.get_or_insert(now);
    }

    fn answered(&mut self) {
        self.down_since = None;
        if let (Some(head), Some(hosts)) = (self.head_at, self.hosts_at) {
            self.confirm(head.min(hosts));
        }
    }
}
