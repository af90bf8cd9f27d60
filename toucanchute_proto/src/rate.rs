use std::fmt;

use serde::{Deserialize, Serialize};

/// Units of a [`RequestRate`] in one request per second.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// A rate of requests, in thousandths of a request per second.
///
/// ```
/// use toucanchute_proto::RequestRate;
///
/// let rate = RequestRate::from_per_second(1.4);
/// assert_eq!(rate, Some(RequestRate(1_400)));
/// assert_eq!(RequestRate(1_400).to_string(), "1.4");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// The maximum rate that [`RequestRate::from_per_second`] returns.
    pub const MAX: RequestRate = RequestRate(100_000_000);

    /// Converts a number of requests per second. The result is rounded down to thousandths and is
    /// at most [`RequestRate::MAX`]. Returns `None` if `rate` is negative or not a number.
    ///
    /// ```
    /// use toucanchute_proto::RequestRate;
    ///
    /// assert_eq!(RequestRate::from_per_second(1e9), Some(RequestRate::MAX));
    /// assert_eq!(RequestRate::from_per_second(-1.0), None);
    /// ```
    #[must_use]
    pub fn from_per_second(rate: f64) -> Option<RequestRate> {
        // The conversion from a float to an integer saturates.
        (rate >= 0.0).then(|| RequestRate((rate * UNITS_PER_REQUEST) as u64).min(RequestRate::MAX))
    }

    /// Returns this rate multiplied by `factor`, which must not be negative.
    #[must_use]
    pub fn scaled(self, factor: f64) -> RequestRate {
        RequestRate((self.0 as f64 * factor) as u64)
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
