//! Messages of etcd v3's JSON mapping, in which bytes are base64 strings and 64-bit integers are
//! decimal strings.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{Entry, KeySelection, LeaseId, Revision};

/// Bytes that JSON carries as a base64 string.
#[derive(Clone, Debug, Default)]
pub(super) struct Base64Bytes(pub(super) Bytes);

impl From<&str> for Base64Bytes {
    fn from(text: &str) -> Base64Bytes {
        Base64Bytes(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Base64Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(de::Error::custom)?;
        Ok(Base64Bytes(bytes.into()))
    }
}

/// 64-bit integer that JSON carries as a decimal string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StringInt(pub(super) i64);

impl StringInt {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl From<Revision> for StringInt {
    fn from(revision: Revision) -> StringInt {
        StringInt(i64::try_from(revision.0).unwrap_or(i64::MAX))
    }
}

impl Serialize for StringInt {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for StringInt {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<StringInt, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(StringInt).map_err(de::Error::custom)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseHeader {
    revision: StringInt,
}

impl ResponseHeader {
    pub(super) fn revision(&self) -> Revision {
        to_revision(self.revision)
    }
}

/// Converts a number to a revision. The service sends no negative revisions.
pub(super) fn to_revision(number: StringInt) -> Revision {
    Revision(u64::try_from(number.0).unwrap_or(0))
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    pub(super) key: Base64Bytes,
    pub(super) mod_revision: StringInt,
    value: Base64Bytes,
}

impl KeyValue {
    pub(super) fn key(&self) -> String {
        String::from_utf8_lossy(&self.key.0).into_owned()
    }
}

impl From<KeyValue> for Entry {
    fn from(kv: KeyValue) -> Entry {
        Entry {
            key: kv.key(),
            value: kv.value.0,
            revision: to_revision(kv.mod_revision),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    key: Base64Bytes,
    range_end: Base64Bytes,
}

impl RangeRequest {
    pub(super) fn key(key: &str) -> RangeRequest {
        RangeRequest {
            key: Base64Bytes::from(key),
            range_end: Base64Bytes::default(),
        }
    }

    pub(super) fn prefix(prefix: &str) -> RangeRequest {
        RangeRequest {
            key: Base64Bytes::from(prefix),
            range_end: prefix_end(prefix),
        }
    }
}

/// Returns the exclusive end of the range of keys that start with `prefix`. It is `\0`, which means
/// an open range, if no key sorts after all of them.
fn prefix_end(prefix: &str) -> Base64Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64Bytes(end.into());
        }
    }
    Base64Bytes(Bytes::from_static(&[0]))
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: ResponseHeader,
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    pub(super) key: Base64Bytes,
    pub(super) value: Base64Bytes,
    #[serde(skip_serializing_if = "StringInt::is_zero")]
    pub(super) lease: StringInt,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutResponse {
    pub(super) header: ResponseHeader,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteRequest {
    pub(super) key: Base64Bytes,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct DeleteResponse {
    pub(super) deleted: StringInt,
}

#[derive(Debug, Serialize)]
struct Compare {
    key: Base64Bytes,
    target: &'static str,
    result: &'static str,
    mod_revision: StringInt,
}

#[derive(Debug, Serialize)]
enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: [Compare; 1],
    success: [RequestOp; 1],
    failure: [RequestOp; 1],
}

impl TxnRequest {
    /// Creates a transaction that writes `key` if its revision is `expected`, or else reads it.
    pub(super) fn cas(key: &str, expected: Revision, value: Bytes) -> TxnRequest {
        let compare = Compare {
            key: Base64Bytes::from(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: expected.into(),
        };
        let put = PutRequest {
            key: Base64Bytes::from(key),
            value: Base64Bytes(value),
            lease: StringInt(0),
        };
        TxnRequest {
            compare: [compare],
            success: [RequestOp::Put(put)],
            failure: [RequestOp::Range(RangeRequest::key(key))],
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: ResponseHeader,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<ResponseOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseOp {
    response_range: Option<RangeResponse>,
}

impl ResponseOp {
    pub(super) fn into_range(self) -> Option<RangeResponse> {
        self.response_range
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: StringInt,
    #[serde(rename = "TTL", skip_serializing_if = "StringInt::is_zero")]
    pub(super) ttl: StringInt,
}

impl LeaseRequest {
    /// Creates a request on a lease that has been granted; its time to live is not sent.
    pub(super) fn existing(lease: LeaseId) -> LeaseRequest {
        LeaseRequest {
            id: StringInt(lease.0),
            ttl: StringInt(0),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(super) id: StringInt,
    #[serde(rename = "TTL")]
    pub(super) ttl: StringInt,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    key: Base64Bytes,
    range_end: Base64Bytes,
    start_revision: StringInt,
    progress_notify: bool,
}

impl WatchRequest {
    pub(super) fn new(selection: &KeySelection, from: Revision) -> WatchRequest {
        let range = match selection {
            KeySelection::Key(key) => RangeRequest::key(key),
            KeySelection::Prefix(prefix) => RangeRequest::prefix(prefix),
        };
        WatchRequest {
            create_request: WatchCreate {
                key: range.key,
                range_end: range.range_end,
                start_revision: from.into(),
                progress_notify: true,
            },
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    #[serde(rename = "type")]
    pub(super) kind: EventKind,
    pub(super) kv: KeyValue,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) header: ResponseHeader,
    pub(super) created: bool,
    pub(super) canceled: bool,
    pub(super) compact_revision: StringInt,
    pub(super) events: Vec<Event>,
}

/// One line of a streamed response.
#[derive(Debug, Deserialize)]
pub(super) struct StreamMessage<T> {
    pub(super) result: T,
}

/// Body of a response with an error status.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorBody {
    pub(super) message: String,
}
