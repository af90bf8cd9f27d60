use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use toucanchute_proto::{
    Digest,
    config::{Config, Head},
};
use toucanchute_settings::{AssembleError, HEAD_KEY, assemble, chunk_key};
use toucanchute_store::{Client, Store, StoreError};

/// Error of a read of the configuration from the platform.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(crate) enum ConfigFetchError {
    /// A call to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Store { source: StoreError },
    /// The head is not valid JSON of a [`Head`].
    #[snafu(display("the configuration's head is malformed: {source}"))]
    Head { source: serde_json::Error },
    /// A chunk is missing or damaged.
    #[snafu(display("{source}"), context(false))]
    Assemble { source: AssembleError },
}

/// Reads the configuration's head. Returns `None` before the first configuration is applied.
pub(super) async fn fetch_head(client: &Client) -> Result<Option<Head>, ConfigFetchError> {
    let Some(entry) = client.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    serde_json::from_slice(&entry.value)
        .map(Some)
        .context(HeadSnafu)
}

/// Reads the head and the configuration whose chunks it lists. Returns `None` before the first
/// configuration is applied.
pub(super) async fn fetch_config(
    client: &Client,
) -> Result<Option<(Arc<Config>, Digest)>, ConfigFetchError> {
    let Some(head) = fetch_head(client).await? else {
        return Ok(None);
    };
    let mut chunks = Vec::with_capacity(head.chunks.len());
    for digest in &head.chunks {
        if let Some(entry) = client.get(&chunk_key(digest)).await? {
            chunks.push(entry.value);
        }
    }
    let config = assemble(&head, &chunks)?;
    Ok(Some((Arc::new(config), head_digest(&head))))
}

/// Returns the short digest by which routers identify a configuration.
pub(super) fn head_digest(head: &Head) -> Digest {
    Digest::new("config", head.digest.as_bytes())
}
