use std::time::Duration;

use hdrhistogram::Histogram;
use yare::parameterized;

use super::{SIGNIFICANT_DIGITS, record_micros};
use crate::load::report::Percentiles;

/// A recorded time span is read back to the histogram's precision.
#[parameterized(
    shortest = { 1 },
    token = { 26_000 },
    first_token = { 1_100_000 },
    long_answer = { 300_000_000 },
)]
fn recorded_span_is_read_back(micros: u64) {
    let mut histogram = Histogram::new(SIGNIFICANT_DIGITS).unwrap();
    record_micros(&mut histogram, Duration::from_micros(micros));
    let read = Percentiles::of(&histogram).p50;
    let ms = micros as f64 / 1_000.0;
    assert!(
        (read - ms).abs() <= ms / 1_000.0,
        "recorded {ms} ms, read {read} ms"
    );
}
