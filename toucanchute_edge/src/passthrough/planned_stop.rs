use std::{future::Future, time::Duration};

use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use toucanchute_proto::Millis;

use crate::control::{Refusal, RefusalOutcome, RefusalReason};

/// Time after which a caller that a stopping process refused may retry. Another router takes the
/// request at once, so it only spreads the callers.
const RETRY_AFTER: Millis = Millis(50);

/// Time that a request is given beyond what it probably takes: two silences of 1.5 s, one of its backend
/// server and one of the server that takes over.
const SILENCE_ALLOWANCE: Duration = Duration::from_secs(3);

/// Times of a planned stop, by the clock of the process that stops.
///
/// `accepts_until` is not later than `ends_at`.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use toucanchute_edge::passthrough::PlannedStop;
///
/// let now = Instant::now();
/// let stop = PlannedStop {
///     accepts_until: now + Duration::from_secs(3),
///     ends_at: now + Duration::from_secs(8),
/// };
/// let deadline = now + Duration::from_secs(15);
/// let long = Some(Duration::from_secs(10));
/// assert_eq!(stop.time_to_start(now, deadline, long), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Requests whose head arrives later are refused.
    pub accepts_until: Instant,
    /// When the process ends, whatever is in progress then.
    pub ends_at: Instant,
}

impl PlannedStop {
    /// Returns how long a request may still wait before it is sent to a backend server, so that it
    /// ends before the process does, also if its servers fall silent for a while. `expected` is the time
    /// that it takes from then on without silences, if it can be estimated.
    ///
    /// A request that cannot be estimated has the time between the end of acceptance and that of the
    /// process, as one has that arrives at the end of acceptance.
    #[must_use]
    pub fn time_to_start(
        self,
        now: Instant,
        deadline: Instant,
        expected: Option<Duration>,
    ) -> Duration {
        if deadline <= self.ends_at {
            return deadline.saturating_duration_since(now);
        }
        let unknown = self.ends_at.duration_since(self.accepts_until);
        let left = self.ends_at.saturating_duration_since(now);
        let needed = expected.map_or(unknown, |time| time + SILENCE_ALLOWANCE);
        left.saturating_sub(needed)
    }

    /// Returns the refusal of a request that cannot end before the process does.
    #[must_use]
    pub fn refusal() -> Refusal {
        Refusal {
            reason: RefusalReason::Draining,
            outcome: RefusalOutcome::NothingSent,
            retry_after: Some(RETRY_AFTER),
            elsewhere: None,
        }
    }
}

/// Runs `work` for a request that waits. Returns the refusal once the request can no longer end before
/// a planned stop does, or at once if it never could.
pub(super) async fn while_it_can_end<T>(
    mut stop: watch::Receiver<Option<PlannedStop>>,
    deadline: Instant,
    expected: impl FnOnce() -> Option<Duration>,
    work: impl Future<Output = T>,
) -> Result<T, Refusal> {
    let too_late = async {
        let begun = stop.wait_for(Option::is_some).await.map(|stop| *stop);
        let Ok(Some(stop)) = begun else {
            // The process has no planned stops.
            return std::future::pending().await;
        };
        let time = stop.time_to_start(Instant::now(), deadline, expected());
        // A timer would let work that is nearly done win, even with no time left.
        if !time.is_zero() {
            sleep(time).await;
        }
    };
    tokio::select! {
        biased;
        () = too_late => Err(PlannedStop::refusal()),
        done = work => Ok(done),
    }
}
