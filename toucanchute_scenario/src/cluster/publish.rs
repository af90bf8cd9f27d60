use std::{net::SocketAddr, path::Path};

use toucanchute_platform::{Cas, Client, ClientSettings, Revision, Store};
use toucanchute_settings::{HEAD_KEY, Packed, chunk_key, load_folder};

use crate::error::{ArgumentSnafu, ScenarioError};

pub(super) async fn publish(
    platform: SocketAddr,
    folder: &Path,
    author: &str,
) -> Result<String, ScenarioError> {
    let fail = |message: String| ArgumentSnafu { message }.build();
    let cfg = load_folder(folder).map_err(|e| fail(e.to_string()))?;
    let client = Client::new(ClientSettings::new(vec![platform]));
    let packed = Packed::new(&cfg);
    for chunk in &packed.chunks {
        let key = chunk_key(&chunk.digest);
        let put = client.put(&key, chunk.body.clone().into(), None).await;
        put.map_err(|e| fail(e.to_string()))?;
    }
    let head = client
        .get(HEAD_KEY)
        .await
        .map_err(|e| fail(e.to_string()))?;
    let (revision, version) = match head {
        None => (Revision::ABSENT, 1),
        Some(entry) => {
            let head: serde_json::Value = serde_json::from_slice(&entry.value).unwrap_or_default();
            (entry.revision, head["version"].as_u64().unwrap_or(0) + 1)
        }
    };
    let head = serde_json::to_vec(&packed.head(version, author)).unwrap_or_default();
    let cas = client.cas(HEAD_KEY, revision, head.into()).await;
    match cas.map_err(|e| fail(e.to_string()))? {
        Cas::Applied { .. } => Ok(String::new()),
        Cas::Conflict { .. } => Err(fail("lost a race".to_owned())),
    }
}
