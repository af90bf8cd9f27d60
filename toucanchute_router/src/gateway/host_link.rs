//! Load of this router's host: which requests its link can carry, and in which share of the lists of
//! addresses it should be named.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use toucanchute_core::placement::{HostCapacity, HostLoad, HostUse, LinkBudget, LinkRequest};
use toucanchute_edge::{ConnectionCounts, Refusal, RefusalOutcome, RefusalReason};
use toucanchute_proto::Millis;

use crate::{clock, link::LinkCounts};

/// Measures the load of this router's host, and admits requests to its link.
#[derive(Debug)]
pub(super) struct HostLink {
    /// Absent if the bandwidth of the link is not configured.
    budget: Option<Mutex<LinkBudget>>,
    load: Mutex<HostLoad>,
    /// Whether a request was refused since the last measurement.
    refused: AtomicBool,
    connections: Arc<ConnectionCounts>,
    counted: Mutex<CountedBytes>,
}

/// Bytes that had passed the link at the last measurement.
#[derive(Clone, Copy, Debug, Default)]
struct CountedBytes {
    callers: u64,
    /// Sent to and received from other routers.
    peers: (u64, u64),
}

impl HostLink {
    pub(super) fn new(capacity: HostCapacity, connections: Arc<ConnectionCounts>) -> HostLink {
        let is_known = capacity.bandwidth > 0;
        HostLink {
            budget: is_known.then(|| Mutex::new(LinkBudget::new(capacity.bandwidth))),
            load: Mutex::new(HostLoad::new(capacity)),
            refused: AtomicBool::new(false),
            connections,
            counted: Mutex::default(),
        }
    }

    /// Admits a request to the link, or refuses it with the time after which it may be repeated.
    pub(super) fn admit(&self, req: LinkRequest<'_>) -> Result<(), Refusal> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        lock(budget).admit(clock::now(), req).map_err(|wait| {
            self.refused.store(true, Ordering::Relaxed);
            Refusal {
                reason: RefusalReason::HostBusy,
                outcome: RefusalOutcome::NothingSent,
                retry_after: Some(wait),
                elsewhere: None,
            }
        })
    }

    /// Measures the load, in a timer that fired `delay` late, with the traffic on links to other routers since
    /// the start; returns the share of the lists that should name this host if it has changed.
    pub(super) fn measure(&self, delay: Duration, links: LinkCounts) -> Option<u8> {
        let now = clock::now();
        let passed = self.count_bytes(links);
        let (sent, received) = passed.peers;
        let peers = sent.max(received);
        if let Some(budget) = &self.budget {
            lock(budget).draw(now, peers);
        }
        let used = HostUse {
            // What a caller sends goes on to a backend server, and what it receives came from one, so
            // that both pass the link in each direction.
            link_bytes: passed.callers + peers,
            timer_delay: Millis(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)),
            refused: self.refused.swap(false, Ordering::Relaxed),
        };
        let share = lock(&self.load).record(now, used)?;
        let (link_permille, timer_delay_ms) = self.means();
        log::info!(
            eighths = share,
            link_permille = link_permille,
            timer_delay_ms = timer_delay_ms,
            refused = used.refused;
            "list-share-changed"
        );
        Some(share)
    }

    /// Returns the share of the lists that should name this host, in eighths.
    pub(super) fn list_share(&self) -> u8 {
        lock(&self.load).share()
    }

    /// Whether load balancers should send callers elsewhere until this host's queues are empty.
    pub(super) fn is_relieved(&self) -> bool {
        lock(&self.load).is_relieved()
    }

    /// Returns the mean use of the link in thousandths of its bandwidth, and the mean delay of timers in
    /// milliseconds.
    pub(super) fn means(&self) -> (u64, u64) {
        let load = lock(&self.load);
        let link_permille = (load.link_use() * 1_000.0) as u64;
        (link_permille, load.timer_delay_ms() as u64)
    }

    /// Returns the bytes that passed the link since the last call.
    fn count_bytes(&self, links: LinkCounts) -> CountedBytes {
        let total = CountedBytes {
            callers: self.connections.bytes(),
            peers: (links.sent.1, links.received.1),
        };
        let before = std::mem::replace(&mut *lock(&self.counted), total);
        CountedBytes {
            callers: total.callers - before.callers,
            peers: (
                total.peers.0 - before.peers.0,
                total.peers.1 - before.peers.1,
            ),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
