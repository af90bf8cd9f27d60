use std::{
    fmt,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

/// A point in time or a span of time, in milliseconds.
///
/// State machines receive the time from their caller and never read a clock.
///
/// ```
/// use toucanchute_proto::Millis;
///
/// let now = Millis(1_000);
/// assert_eq!(now + Millis(500), Millis(1_500));
/// assert_eq!(now - Millis(2_000), Millis(0));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest representable point in time.
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns the span since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

/// Subtraction saturates at zero.
impl Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
