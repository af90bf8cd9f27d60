use bytes::Bytes;
use snafu::{OptionExt as _, ResultExt as _};
use toucanchute_proto::config::{Config, Head};
use toucanchute_settings::{HEAD_KEY, assemble, chunk_key};
use toucanchute_store::{Entry, Revision, Store, StoreError};

use crate::apply::{
    ApplyError, AssembleSnafu, BrokenHeadSnafu, LostChunkSnafu, UnreachableSnafu, retry,
};

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// Head that puts it in force.
    pub head: Head,
    /// Revision at which the head was written.
    pub revision: Revision,
    /// Content.
    pub config: Config,
}

impl Current {
    /// Reads the configuration in force; `None` before the first apply.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or holds no whole configuration.
    pub async fn read<S: Store>(store: &S) -> Result<Option<Current>, ApplyError> {
        let entry = retry(|| store.get(HEAD_KEY)).await;
        match entry.context(UnreachableSnafu { unsure: false })? {
            Some(entry) => Current::from_head(store, &entry).await.map(Some),
            None => Ok(None),
        }
    }

    /// Reads the configuration that a head names.
    pub(crate) async fn from_head<S: Store>(
        store: &S,
        entry: &Entry,
    ) -> Result<Current, ApplyError> {
        let head: Head = serde_json::from_slice(&entry.value).context(BrokenHeadSnafu)?;
        let mut bodies = Vec::new();
        for digest in &head.chunks {
            let body = retry(|| read_chunk(store, digest)).await;
            let body = body.context(UnreachableSnafu { unsure: false })?;
            bodies.push(body.context(LostChunkSnafu { digest })?);
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
