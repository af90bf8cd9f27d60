//! Messages of the JSON mapping of etcd v3: bytes are base64, 64-bit integers are strings.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes, encoded in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

impl Blob {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Blob, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        let bytes = STANDARD
            .decode(text.as_bytes())
            .map_err(de::Error::custom)?;
        Ok(Blob(bytes))
    }
}

/// A 64-bit integer, encoded as a string; a JSON number is accepted as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Int64(pub(crate) i64);

impl Int64 {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Int64, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(i64),
            Text(String),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(n) => Ok(Int64(n)),
            Either::Text(text) => text.parse().map(Int64).map_err(de::Error::custom),
        }
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Header {
    pub(crate) cluster_id: Int64,
    pub(crate) member_id: Int64,
    pub(crate) revision: Int64,
    pub(crate) raft_term: Int64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct KeyValue {
    pub(crate) key: Blob,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(crate) create_revision: Int64,
    pub(crate) mod_revision: Int64,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(crate) version: Int64,
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub(crate) value: Blob,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(crate) lease: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeRequest {
    pub(crate) key: Blob,
    pub(crate) range_end: Blob,
    pub(crate) limit: Int64,
    pub(crate) keys_only: bool,
    pub(crate) count_only: bool,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) more: bool,
    pub(crate) count: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutRequest {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    pub(crate) lease: Int64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct PutResponse {
    pub(crate) header: Header,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DeleteRangeRequest {
    pub(crate) key: Blob,
    pub(crate) range_end: Blob,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct DeleteRangeResponse {
    pub(crate) header: Header,
    pub(crate) deleted: Int64,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    pub(crate) target: CompareTarget,
    pub(crate) result: CompareResult,
    pub(crate) version: Int64,
    pub(crate) create_revision: Int64,
    pub(crate) mod_revision: Int64,
    pub(crate) value: Blob,
    pub(crate) lease: Int64,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

#[derive(Clone, Debug, Serialize)]
pub(crate) enum ResponseOp {
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<RequestOp>,
    pub(crate) failure: Vec<RequestOp>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) responses: Vec<ResponseOp>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct LeaseResponse {
    pub(crate) header: Header,
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    #[serde(rename = "TTL", skip_serializing_if = "Int64::is_zero")]
    pub(crate) ttl: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    pub(crate) key: Blob,
    pub(crate) range_end: Blob,
    pub(crate) start_revision: Int64,
    pub(crate) progress_notify: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    Put,
    Delete,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type")]
    pub(crate) kind: EventKind,
    pub(crate) kv: KeyValue,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) created: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) canceled: bool,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(crate) compact_revision: Int64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) events: Vec<Event>,
}

/// One line of a streamed response.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Streamed<T> {
    pub(crate) result: T,
}
