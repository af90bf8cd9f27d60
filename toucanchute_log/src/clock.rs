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

/// Bits of a stamp that count events within one millisecond.
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

/// A hybrid logical clock: never behind the wall clock it is shown nor behind any stamp observed.
#[derive(Debug, Default)]
pub struct HybridClock {
    /// Greatest stamp issued or observed; it only rises.
    last: AtomicU64,
}

impl HybridClock {
    /// Creates a clock that has observed nothing.
    #[must_use]
    pub const fn new() -> HybridClock {
        HybridClock {
            last: AtomicU64::new(0),
        }
    }

    /// Returns a stamp greater than all issued and observed, given the wall clock in milliseconds.
    pub fn tick(&self, wall_ms: u64) -> HybridTimestamp {
        let wall = wall_ms << COUNTER_BITS;
        let advance = |last: u64| Some(wall.max(last + 1));
        let last = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, advance);
        HybridTimestamp(wall.max(last.unwrap_or_default() + 1))
    }

    /// Raises the clock to a stamp received from another process.
    pub fn observe(&self, stamp: HybridTimestamp) {
        self.last.fetch_max(stamp.0, Ordering::AcqRel);
    }
}

static CLOCK: HybridClock = HybridClock::new();

/// Returns the next stamp of this process's clock.
#[must_use]
pub fn now() -> HybridTimestamp {
    CLOCK.tick(steady_clock_ms())
}

/// Raises this process's clock to a stamp received from another process.
pub fn observe(stamp: HybridTimestamp) {
    CLOCK.observe(stamp);
}

/// The wall clock and the boot clock when this process first asked, in milliseconds.
static START_CLOCKS: LazyLock<(u64, u64)> = LazyLock::new(|| (wall_clock_ms(), boot_clock_ms()));

/// Returns milliseconds since the Unix epoch by the wall clock at the process's start, carried on
/// by the boot clock: it does not jump when the time of day is set, and counts the time that the
/// process stood still.
#[must_use]
pub fn steady_clock_ms() -> u64 {
    let (wall, boot) = *START_CLOCKS;
    wall + boot_clock_ms().saturating_sub(boot)
}

/// Returns the time since the machine's start, in milliseconds, suspended time included.
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
