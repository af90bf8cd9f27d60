use std::io::Read;

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, read::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

use crate::{DecodeError, to_cbor};

/// Maximum size of the CBOR encoding of an unpacked value, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// Returns the compressed CBOR encoding of `value`.
///
/// ```
/// use toucanchute_proto::{pack, unpack};
///
/// let names = vec!["bilbao"; 1_000];
/// let buf = pack(&names);
/// assert!(buf.len() < 100);
/// assert_eq!(unpack::<Vec<String>>(&buf).unwrap(), names);
/// ```
#[must_use]
pub fn pack<T: Serialize>(value: &T) -> Bytes {
    let plain = to_cbor(value);
    let mut buf = Vec::new();
    // Reading from memory cannot fail.
    let _ = DeflateEncoder::new(&plain[..], Compression::fast()).read_to_end(&mut buf);
    buf.into()
}

/// Returns the value whose compressed CBOR encoding is `buf`.
///
/// # Errors
///
/// Fails if `buf` is not the packed form of a `T`, or if the CBOR encoding exceeds 64 MiB.
pub fn unpack<T: DeserializeOwned>(buf: &[u8]) -> Result<T, DecodeError> {
    let plain = DeflateDecoder::new(buf).take(MAX_UNPACKED_BYTES);
    ciborium::from_reader(plain).map_err(|e| DecodeError {
        type_name: std::any::type_name::<T>(),
        detail: e.to_string(),
    })
}
