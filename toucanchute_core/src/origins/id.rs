use toucanchute_proto::Digest;

/// Identifies a stream by its customer and the attempt that brought its first event.
///
/// ```
/// use toucanchute_core::origins::StreamId;
///
/// assert_ne!(StreamId::new("north", b"a1"), StreamId::new("south", b"a1"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub(super) u64);

impl StreamId {
    /// Returns the identifier of a stream of `customer`, whose first event came with `attempt`, any
    /// bytes that the caller states.
    #[must_use]
    pub fn new(customer: &str, attempt: &[u8]) -> StreamId {
        StreamId(Digest::new(customer, attempt).0 as u64)
    }
}
