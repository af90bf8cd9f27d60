use bytes::Bytes;
use snafu::{OptionExt as _, ResultExt as _};
use toucanchute_proto::config::{Config, Head};
use toucanchute_settings::{HEAD_KEY, assemble, chunk_key};
use toucanchute_store::{Entry, Revision, Store, StoreError};

use crate::apply::{
    ApplyError, AssembleSnafu, MalformedHeadSnafu, MissingChunkSnafu, UnreachableSnafu, retry,
};

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// Its head, which names the version and the chunks.
    pub head: Head,
    /// Revision at which the head was written.
    pub revision: Revision,
    /// The configuration itself.
    pub config: Config,
}

impl Current {
    /// Reads the configuration in force; `None` before the first apply.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or does not have the complete configuration.
    pub async fn read<S: Store>(store: &S) -> Result<Option<Current>, ApplyError> {
        let entry = retry(|| store.get(HEAD_KEY)).await;
        match entry.context(UnreachableSnafu {
            maybe_accepted: false,
        })? {
            Some(entry) => Current::from_head(store, &entry).await.map(Some),
            None => Ok(None),
        }
    }

    /// Reads the configuration that the head in `entry` names.
    pub(crate) async fn from_head<S: Store>(
        store: &S,
        entry: &Entry,
    ) -> Result<Current, ApplyError> {
        let head: Head = serde_json::from_slice(&entry.value).context(MalformedHeadSnafu)?;
        let mut bodies = Vec::new();
        for digest in &head.chunks {
            let body = retry(|| read_chunk(store, digest)).await;
            let body = body.context(UnreachableSnafu {
                maybe_accepted: false,
            })?;
            bodies.push(body.context(MissingChunkSnafu { digest })?);
        }
        Ok(Current {
            config: assemble(&head, &bodies).context(AssembleSnafu)?,
            revision: entry.revision,
            head,
        })
    }
}

async fn read_chunk<S: Store>(store: &S, digest: &str) -> Result<Option<Bytes>, StoreError> {
    let entry = store.get(&chunk_key(digest)).await?;
    Ok(entry.map(|entry| entry.value))
}
