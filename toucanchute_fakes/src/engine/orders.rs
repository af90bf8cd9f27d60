use http::StatusCode;
use serde::Deserialize;

use crate::reply::{self, Reply};

/// Whether an engine checks the fencing numbers of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// Orders with a smaller number than the greatest so far are refused.
    Checked,
    /// The number is ignored.
    Ignored,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    LoadModel,
    ChangeRole,
}

#[derive(Clone, Debug, Deserialize)]
struct Order {
    kind: Kind,
    model: String,
    fence: u64,
}

/// State that orders change.
#[derive(Debug)]
pub(super) struct Orders {
    fencing: Fencing,
    /// Greatest fencing number of an accepted order; it never decreases.
    fence: u64,
    /// Loaded models; if empty, all models are served.
    models: Vec<String>,
}

impl Orders {
    pub(super) fn new(fencing: Fencing, models: Vec<String>) -> Orders {
        Orders {
            fencing,
            fence: 0,
            models,
        }
    }

    pub(super) fn serves(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|name| name == model)
    }

    pub(super) fn models(&self) -> &[String] {
        &self.models
    }

    /// Returns the greatest fencing number of an accepted order.
    pub(super) fn fence(&self) -> u64 {
        self.fence
    }

    /// Handles `POST /v1/orders`.
    pub(super) fn apply(&mut self, body: &[u8]) -> Reply {
        let order: Order = match reply::parse_json(body) {
            Ok(order) => order,
            Err(refusal) => return *refusal,
        };
        if self.fencing == Fencing::Checked && order.fence < self.fence {
            log::info!(fence = order.fence, latest = self.fence; "order-refused");
            return reply::error(StatusCode::CONFLICT, "fencing number is old");
        }
        self.fence = self.fence.max(order.fence);
        log::info!(kind:? = order.kind, model = order.model, fence = order.fence; "order-taken");
        match order.kind {
            Kind::LoadModel if !self.models.contains(&order.model) => self.models.push(order.model),
            Kind::LoadModel | Kind::ChangeRole => {}
        }
        reply::json(StatusCode::OK, &serde_json::json!({}))
    }
}
