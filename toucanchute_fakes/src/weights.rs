use std::{collections::BTreeMap, io, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use tokio::time::sleep;

use crate::reply::{self, Reply};

/// Size of one chunk of a response, in bytes.
const CHUNK_BYTES: u64 = 64 << 10;

/// Options of a fake weight store.
#[derive(Clone, Debug)]
pub struct WeightOptions {
    /// Sizes of the weights by name, in bytes.
    pub sizes: BTreeMap<String, u64>,
    /// Maximum rate of each response, in bytes per second.
    pub bytes_per_second: u64,
}

impl Default for WeightOptions {
    fn default() -> WeightOptions {
        WeightOptions {
            sizes: BTreeMap::new(),
            bytes_per_second: 64 << 20,
        }
    }
}

/// A rate-limited store of model weights, whose contents are zeros.
#[derive(Debug)]
pub(crate) struct WeightStore {
    options: WeightOptions,
}

impl WeightStore {
    pub(crate) fn new(options: WeightOptions) -> WeightStore {
        WeightStore { options }
    }

    /// Handles `GET /v1/weights/<name>`.
    pub(crate) fn download(&self, name: &str) -> Reply {
        let Some(&size) = self.options.sizes.get(name) else {
            return reply::error(StatusCode::NOT_FOUND, "no such weights");
        };
        let rate = self.options.bytes_per_second.max(1);
        let chunk_interval = Duration::from_secs_f64(CHUNK_BYTES as f64 / rate as f64);
        let chunks = stream::unfold(size, move |remaining| async move {
            if remaining == 0 {
                return None;
            }
            sleep(chunk_interval).await;
            let len = remaining.min(CHUNK_BYTES);
            let chunk = Bytes::from(vec![0; len as usize]);
            Some((Ok::<_, io::Error>(chunk), remaining - len))
        });
        reply::streamed("application/octet-stream", chunks)
    }
}
