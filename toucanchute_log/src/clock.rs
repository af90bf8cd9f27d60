use std::{
    fmt,
    str::FromStr,
    sync::{
        LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// HTTP header that carries the sender's [`HybridTimestamp`].
pub const CLOCK_HEADER: &str = "toucanchute-clock";

/// Low bits of a timestamp, which count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A reading of a hybrid logical clock: milliseconds since the Unix epoch, then a counter.
///
/// ```
/// use toucanchute_log::HybridTimestamp;
///
/// let stamp: HybridTimestamp = "1700000000000.0003".parse().unwrap();
/// assert_eq!(stamp.to_string(), "1700000000000.0003");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp(pub u64);

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:04x}",
            self.0 >> COUNTER_BITS,
            self.0 & ((1 << COUNTER_BITS) - 1)
        )
    }
}

impl FromStr for HybridTimestamp {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<HybridTimestamp, Self::Err> {
        let (ms, counter) = s.split_once('.').unwrap_or((s, "0"));
        let counter = u16::from_str_radix(counter, 16)?;
        Ok(HybridTimestamp(
            ms.parse::<u64>()? << COUNTER_BITS | u64::from(counter),
        ))
    }
}

/// Hybrid logical clock. It is never behind the wall clock passed to [`HybridClock::tick`] nor
/// behind any timestamp passed to [`HybridClock::observe`].
#[derive(Debug, Default)]
pub struct HybridClock {
    /// Greatest timestamp issued or observed. It never decreases.
    last: AtomicU64,
}

impl HybridClock {
    /// Creates a clock at zero.
    #[must_use]
    pub const fn new() -> HybridClock {
        HybridClock {
            last: AtomicU64::new(0),
        }
    }

    /// Issues a timestamp that is greater than all issued and observed ones and not before
    /// `wall_ms`, the wall clock in milliseconds since the Unix epoch.
    pub fn tick(&self, wall_ms: u64) -> HybridTimestamp {
        let wall = wall_ms << COUNTER_BITS;
        let advance = |last: u64| Some(wall.max(last + 1));
        let last = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, advance);
        HybridTimestamp(wall.max(last.unwrap_or_default() + 1))
    }

    /// Advances the clock to a timestamp received from another process.
    pub fn observe(&self, stamp: HybridTimestamp) {
        self.last.fetch_max(stamp.0, Ordering::AcqRel);
    }
}

static CLOCK: HybridClock = HybridClock::new();

/// Issues the next timestamp of this process's clock.
#[must_use]
pub fn now() -> HybridTimestamp {
    CLOCK.tick(steady_clock_ms())
}

/// Advances this process's clock to a timestamp received from another process.
pub fn observe(stamp: HybridTimestamp) {
    CLOCK.observe(stamp);
}

/// The wall clock and the boot clock at the first use of [`steady_clock_ms`], in milliseconds.
static START_CLOCKS: LazyLock<(u64, u64)> = LazyLock::new(|| (wall_clock_ms(), boot_clock_ms()));

/// Returns milliseconds since the Unix epoch, computed from the wall clock at the first call and
/// the boot clock's progress since then. It does not jump when the time of day is set, and it
/// includes time during which the process was stopped or the host suspended.
#[must_use]
pub fn steady_clock_ms() -> u64 {
    let (wall, boot) = *START_CLOCKS;
    wall + boot_clock_ms().saturating_sub(boot)
}

/// Returns the time since the host was booted, in milliseconds, including time in suspend.
fn boot_clock_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the wall clock in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
