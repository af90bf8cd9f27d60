use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Error of decoding a value that is not the CBOR encoding of the expected type.
#[derive(Debug, Snafu)]
#[snafu(display("value is not a valid `{type_name}`: {detail}"))]
pub struct DecodeError {
    /// Name of the expected type.
    pub type_name: &'static str,
    /// Cause, as the decoder reports it.
    pub detail: String,
}

/// Returns the CBOR encoding of `value`.
///
/// ```
/// use toucanchute_proto::{Millis, from_cbor, to_cbor};
///
/// let buf = to_cbor(&Millis(7));
/// assert_eq!(from_cbor::<Millis>(&buf).unwrap(), Millis(7));
/// ```
#[must_use]
pub fn to_cbor<T: Serialize>(value: &T) -> Bytes {
    let mut buf = Vec::new();
    // Writing to a vector cannot fail, and no type of this crate refuses to be serialized.
    let _ = ciborium::into_writer(value, &mut buf);
    buf.into()
}

/// Returns the value that `buf` encodes.
///
/// # Errors
///
/// Fails if `buf` is not the CBOR encoding of a `T`.
pub fn from_cbor<T: DeserializeOwned>(buf: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(buf).map_err(|e| DecodeError {
        type_name: std::any::type_name::<T>(),
        detail: e.to_string(),
    })
}
