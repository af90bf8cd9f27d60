/// Processor time of a typical request, in microseconds of a core.
const REQUEST_PROCESSOR_US: u64 = 500;

/// Bits of a typical request in each direction of a host's link: its body and its response.
const REQUEST_BITS: u64 = 64_000;

/// What a host can carry, as far as its settings say.
///
/// ```
/// use toucanchute_core::placement::HostCapacity;
///
/// let small = HostCapacity { processor: 120, bandwidth: 10_000 };
/// let large = HostCapacity { processor: 500, bandwidth: 200_000 };
/// assert!(large.requests_per_second() > 2 * small.requests_per_second());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCapacity {
    /// Processor capacity, in thousandths of a core; 0 if unknown.
    pub processor: u32,
    /// Bandwidth of the link in each direction, in kbit/s; 0 if unknown.
    pub bandwidth: u32,
}

impl HostCapacity {
    /// Returns the number of typical requests that the host can carry in a second, by what limits it
    /// most; 0 if nothing is known.
    #[must_use]
    pub fn requests_per_second(self) -> u64 {
        let by_processor = u64::from(self.processor) * 1_000 / REQUEST_PROCESSOR_US;
        let by_link = u64::from(self.bandwidth) * 1_000 / REQUEST_BITS;
        match (self.processor, self.bandwidth) {
            (_, 0) => by_processor,
            (0, _) => by_link,
            _ => by_processor.min(by_link),
        }
    }
}
