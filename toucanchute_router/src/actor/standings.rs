use std::sync::atomic::{AtomicU64, Ordering};

use toucanchute_proto::{
    Millis,
    fleet::{Standing, Verdict},
};

/// Logs and counts words about requests under which backend servers ended.
#[derive(Debug, Default)]
pub(crate) struct RequestStandings {
    own: VerdictCounts,
    received: VerdictCounts,
}

#[derive(Debug, Default)]
struct VerdictCounts {
    suspect: AtomicU64,
    cleared: AtomicU64,
    quarantined: AtomicU64,
}

/// Number of words of one standing from one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StandingCount {
    /// Name of the standing.
    pub(crate) standing: &'static str,
    /// `own` for this router's words, `heard` for those of others.
    pub(crate) source: &'static str,
    /// Words since the start.
    pub(crate) count: u64,
}

impl RequestStandings {
    /// Takes in this router's own word.
    pub(crate) fn record_own(&self, verdict: &Verdict) {
        self.own
            .counter(verdict.standing)
            .fetch_add(1, Ordering::Relaxed);
        log::info!(
            digest:% = verdict.digest,
            standing = standing_name(verdict.standing),
            backend = verdict.crash.as_ref().map_or("", |c| c.replica.as_str()),
            claimed = verdict.claim.as_ref().map_or("", |c| c.replica.as_str());
            "request-standing"
        );
    }

    /// Takes in another router's word.
    pub(crate) fn record_received(&self, now: Millis, verdict: &Verdict) {
        self.received
            .counter(verdict.standing)
            .fetch_add(1, Ordering::Relaxed);
        log::info!(
            digest:% = verdict.digest,
            standing = standing_name(verdict.standing),
            router:% = verdict.router,
            backend = verdict.crash.as_ref().map_or("", |c| c.replica.as_str()),
            crash_age_ms = verdict.crash.as_ref().map(|c| now.since(c.at).0);
            "request-standing-heard"
        );
    }

    /// Returns all counts.
    pub(crate) fn counts(&self) -> Vec<StandingCount> {
        let sources = [("own", &self.own), ("heard", &self.received)];
        let all = [Standing::Suspect, Standing::Cleared, Standing::Quarantined];
        let counts = sources.into_iter().flat_map(|(source, counts)| {
            all.into_iter().map(move |standing| StandingCount {
                standing: standing_name(standing),
                source,
                count: counts.counter(standing).load(Ordering::Relaxed),
            })
        });
        counts.collect()
    }
}

impl VerdictCounts {
    fn counter(&self, standing: Standing) -> &AtomicU64 {
        match standing {
            Standing::Suspect => &self.suspect,
            Standing::Cleared => &self.cleared,
            Standing::Quarantined => &self.quarantined,
        }
    }
}

fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Suspect => "suspect",
        Standing::Cleared => "cleared",
        Standing::Quarantined => "quarantined",
    }
}
