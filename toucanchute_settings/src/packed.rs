use snafu::{OptionExt as _, ResultExt as _, ensure};
use toucanchute_proto::config::{Config, Head};

use crate::{
    error::{AssembleError, ChunkSnafu, ContentSnafu, DigestMismatchSnafu},
    format::sha256_hex,
};

/// Key of the [`Head`] in the platform's key-value store. Its value is JSON.
pub const HEAD_KEY: &str = "/toucanchute/config/head";

/// Maximum size of a configuration chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 256 << 10;

/// A configuration in canonical form, split into content-addressed chunks.
///
/// Two configurations have the same digest if and only if their content is equal, regardless of the
/// version and of the order of sections and files.
///
/// ```
/// use toucanchute_settings::{PackedConfig, assemble};
/// # use toucanchute_proto::config::Config;
///
/// # let json = r#"{"version":0,"site":"north","routing":{},"ledger":{}}"#;
/// # let cfg: Config = serde_json::from_str(json).unwrap();
/// let packed = PackedConfig::new(&cfg);
/// let bodies: Vec<_> = packed.chunks.iter().map(|c| &c.body).collect();
/// let head = packed.head(1, "ana");
/// assert_eq!(assemble(&head, &bodies).unwrap().version, 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedConfig {
    /// SHA-256 digest of the concatenated chunks, in lower-case hexadecimal digits.
    pub digest: String,
    /// Chunks in order; at least one.
    pub chunks: Vec<ConfigChunk>,
}

/// A part of a configuration's canonical JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChunk {
    /// SHA-256 digest of the body, in lower-case hexadecimal digits.
    pub digest: String,
    /// Content of the chunk, at most [`MAX_CHUNK_BYTES`] bytes.
    pub body: Vec<u8>,
}

impl PackedConfig {
    /// Splits a configuration into chunks. Its version is not part of them.
    #[must_use]
    pub fn new(cfg: &Config) -> PackedConfig {
        let json = canonical_json(cfg);
        let chunk = |body: &[u8]| ConfigChunk {
            digest: sha256_hex(body),
            body: body.to_vec(),
        };
        PackedConfig {
            digest: sha256_hex(&json),
            chunks: json.chunks(MAX_CHUNK_BYTES).map(chunk).collect(),
        }
    }

    /// Returns the head that puts this configuration in force as `version`, applied by `author`.
    #[must_use]
    pub fn head(&self, version: u64, author: &str) -> Head {
        Head {
            version,
            digest: self.digest.clone(),
            chunks: self.chunks.iter().map(|c| c.digest.clone()).collect(),
            author: author.to_owned(),
        }
    }
}

/// Returns the key of the chunk with `digest` in the platform's key-value store.
#[must_use]
pub fn chunk_key(digest: &str) -> String {
    format!("/toucanchute/config/chunk/{digest}")
}

/// Assembles the configuration of `head` from the bodies of its chunks, which must be in the order
/// of the head.
///
/// # Errors
///
/// Fails if a chunk is missing or damaged, if the digest of the concatenated chunks differs from
/// the head's, or if they cannot be parsed as a configuration.
pub fn assemble<T: AsRef<[u8]>>(head: &Head, bodies: &[T]) -> Result<Config, AssembleError> {
    let mut json = Vec::new();
    for (i, digest) in head.chunks.iter().enumerate() {
        let body = bodies.get(i).context(ChunkSnafu { digest })?.as_ref();
        ensure!(sha256_hex(body) == *digest, ChunkSnafu { digest });
        json.extend_from_slice(body);
    }
    let found = sha256_hex(&json);
    let expected = &head.digest;
    ensure!(found == *expected, DigestMismatchSnafu { expected, found });
    let mut cfg: Config =
        serde_json::from_slice(&json).context(ContentSnafu { digest: expected })?;
    cfg.version = head.version;
    Ok(cfg)
}

/// Returns the canonical JSON of a configuration, with version 0 and the lists of models, services,
/// pools, backend servers, budgets and customers sorted by name.
fn canonical_json(cfg: &Config) -> Vec<u8> {
    let mut cfg = cfg.clone();
    cfg.version = 0;
    cfg.models.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.services.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.pools.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.backends.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.budgets.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.customers.sort_by(|a, b| a.name.cmp(&b.name));
    serde_json::to_vec(&cfg).unwrap_or_default()
}
