use std::sync::atomic::{AtomicU64, Ordering};

use toucanchute_proto::{
    Millis,
    fleet::{Standing, Verdict},
};

/// Logs and counts verdicts on requests that were in flight on backend servers that crashed, and on
/// parts of their prompts.
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

/// Number of verdicts of one standing from one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StandingCount {
    /// Name of the standing.
    pub(crate) standing: &'static str,
    /// `own` for this router's verdicts, `heard` for those received from others.
    pub(crate) source: &'static str,
    /// Verdicts since the start of the process.
    pub(crate) count: u64,
}

impl RequestStandings {
    /// Logs and counts a verdict of this router.
    pub(crate) fn record_own(&self, verdict: &Verdict) {
        self.own
            .counter(verdict.standing)
            .fetch_add(1, Ordering::Relaxed);
        log::info!(
            digest:% = verdict.digest,
            scope:% = verdict.scope,
            crashes = verdict.crashes,
            standing = standing_name(verdict.standing),
            backend = verdict.crash.as_ref().map_or("", |c| c.replica.as_str()),
            claimed = verdict.claim.as_ref().map_or("", |c| c.replica.as_str());
            "request-standing"
        );
    }

    /// Logs and counts a verdict that was received from another router at `now`.
    pub(crate) fn record_received(&self, now: Millis, verdict: &Verdict) {
        self.received
            .counter(verdict.standing)
            .fetch_add(1, Ordering::Relaxed);
        log::info!(
            digest:% = verdict.digest,
            scope:% = verdict.scope,
            crashes = verdict.crashes,
            standing = standing_name(verdict.standing),
            router:% = verdict.router,
            backend = verdict.crash.as_ref().map_or("", |c| c.replica.as_str()),
            crash_age_ms = verdict.crash.as_ref().map(|c| now.since(c.at).0);
            "request-standing-heard"
        );
    }

    /// Returns the counts of every source and standing.
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
