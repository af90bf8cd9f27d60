use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::oneshot;
use toucanchute_core::fleet::orders::{self, Order, OrderKind};
use toucanchute_edge::{Refusal, RefusalReason};
use toucanchute_proto::{
    BudgetId, GrantId, Incarnation,
    api::{EngineOrder, EngineOrderKind, TopUp, WriteOff},
};
use toucanchute_store::{Client, HostListClient};
use xtra::prelude::*;

use crate::{
    actor::{
        FleetActor, ListMembers, MoneyActor, MoneyCall, MoneyInput, MoneyReply, OrderError,
        OrdersActor, SubmitOrder, post,
    },
    clock,
    link::{LinkCounts, Mesh},
    view::RouterView,
};

/// The operators' HTTP API under `/v1/admin/`.
pub(crate) struct AdminApi {
    /// Host, addresses and incarnation of this router.
    pub(crate) own: OwnHost,
    /// View of the router's state.
    pub(crate) view: Arc<RouterView>,
    /// Manages grants of the ledger.
    pub(crate) money: Address<MoneyActor>,
    /// Tracks the members of the fleet.
    pub(crate) fleet: Address<FleetActor>,
    /// Sources of the counters of links and of calls to the platform.
    pub(crate) counters: CounterSources,
    /// Sends orders to engines.
    pub(crate) orders: Address<OrdersActor>,
    /// Number of requests in progress.
    pub(crate) in_flight: Arc<AtomicU64>,
}

/// Sources of the counters of frames and platform calls since the start of the process.
pub(crate) struct CounterSources {
    /// Links to other routers.
    pub(crate) mesh: Mesh,
    /// Client of the key-value service.
    pub(crate) client: Arc<Client>,
    /// Client of the host list.
    pub(crate) hosts: Arc<HostListClient>,
}

impl CounterSources {
    /// Returns the current counters as a JSON object.
    fn to_json(&self) -> Value {
        let LinkCounts {
            peers,
            sent,
            received,
        } = self.mesh.counts();
        let calls = self.client.counts();
        json!({
            "linked_peers": peers,
            "frames_sent": sent.0,
            "frame_bytes_sent": sent.1,
            "frames_received": received.0,
            "frame_bytes_received": received.1,
            "platform_reads": calls.reads,
            "platform_writes": calls.writes,
            "platform_unknown": calls.unknown,
            "platform_not_applied": calls.not_applied,
            "host_list_reads": self.hosts.counts().hosts,
        })
    }
}

/// Host, addresses and incarnation of this router, as shown to operators.
#[derive(Clone, Debug)]
pub(crate) struct OwnHost {
    /// Name of the host.
    pub(crate) host: String,
    /// Failure domain of the host.
    pub(crate) failure_domain: String,
    /// Address of this router for callers.
    pub(crate) caller_address: SocketAddr,
    /// Address of this router for other routers.
    pub(crate) peer_address: SocketAddr,
    /// Incarnation of this process.
    pub(crate) incarnation: Incarnation,
}

type JsonResponse = (StatusCode, Value);

impl AdminApi {
    /// Handles one request; returns the status and the JSON document of the response.
    pub(crate) async fn answer(&self, method: &Method, path: &str, body: &[u8]) -> JsonResponse {
        let path = path.strip_prefix("/v1/admin/").unwrap_or(path);
        match (method, path.split_once('/')) {
            (&Method::GET, Some(("statements", budget))) => self.statement(budget).await,
            (&Method::GET, None) if path == "status" => self.status().await,
            (&Method::GET, None) if path == "hosts" => self.hosts().await,
            (&Method::POST, None) if path == "top-ups" => self.top_up(body).await,
            (&Method::POST, None) if path == "orders" => self.submit_order(body).await,
            (&Method::POST, None) if path == "write-offs" => self.write_off(body).await,
            _ => problem_response(
                StatusCode::NOT_FOUND,
                "unknown-path",
                "no such operators' path",
            ),
        }
    }

    // --- money

    async fn top_up(&self, body: &[u8]) -> JsonResponse {
        let body: TopUp = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(e) => return problem_response(StatusCode::BAD_REQUEST, "bad-body", &e.to_string()),
        };
        if !self.has_budget(&body.budget) {
            return unknown_budget_response(&body.budget);
        }
        let TopUp { id, budget, tokens } = body;
        log::info!(budget = budget, top_up = id, tokens = tokens; "top-up-received");
        let call = MoneyCall::TopUp {
            id: id.clone(),
            budget: BudgetId::from_name(&budget),
            tokens,
        };
        match self.call_money(call).await {
            Ok(MoneyReply::ToppedUp) => (
                StatusCode::OK,
                json!({"id": id, "budget": budget, "tokens": tokens}),
            ),
            other => refusal_response(other),
        }
    }

    async fn statement(&self, budget: &str) -> JsonResponse {
        if !self.has_budget(budget) {
            return unknown_budget_response(budget);
        }
        let call = MoneyCall::Statement {
            budget: BudgetId::from_name(budget),
        };
        match self.call_money(call).await {
            Ok(MoneyReply::Statement(mut document)) => {
                document["budget"] = json!(budget);
                (StatusCode::OK, document)
            }
            other => refusal_response(other),
        }
    }

    async fn write_off(&self, body: &[u8]) -> JsonResponse {
        let body: WriteOff = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(e) => return problem_response(StatusCode::BAD_REQUEST, "bad-body", &e.to_string()),
        };
        if !self.has_budget(&body.budget) {
            return unknown_budget_response(&body.budget);
        }
        let Some(grant) = parse_grant_id(&body.grant) else {
            let detail = "a grant is named as INCARNATION-NUMBER; see the statement";
            return problem_response(StatusCode::BAD_REQUEST, "bad-body", detail);
        };
        let budget = BudgetId::from_name(&body.budget);
        match self.call_money(MoneyCall::WriteOff { budget, grant }).await {
            Ok(MoneyReply::WrittenOff) => (StatusCode::OK, json!({"grant": body.grant})),
            other => refusal_response(other),
        }
    }

    /// Sends a call to the money actor and waits for its result.
    async fn call_money(&self, call: MoneyCall) -> Result<MoneyReply, Refusal> {
        let (reply, answer) = oneshot::channel();
        post(&self.money, MoneyInput::Call(call, reply));
        answer.await.unwrap_or_else(|_| {
            let reason = RefusalReason::LedgerUnavailable;
            let outcome = toucanchute_edge::RefusalOutcome::Unknown;
            Err(Refusal {
                reason,
                outcome,
                retry_after: None,
                elsewhere: None,
            })
        })
    }

    fn has_budget(&self, name: &str) -> bool {
        self.view.config().budgets.iter().any(|b| b.name == name)
    }

    // --- engines

    async fn submit_order(&self, body: &[u8]) -> JsonResponse {
        let body: EngineOrder = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(e) => return problem_response(StatusCode::BAD_REQUEST, "bad-body", &e.to_string()),
        };
        let kind = match body.kind {
            EngineOrderKind::LoadModel => OrderKind::LoadModel,
            EngineOrderKind::ChangeRole => OrderKind::ChangeRole,
        };
        let (reply, answer) = oneshot::channel();
        let EngineOrder { backend, model, .. } = body;
        let order = Order {
            backend: backend.clone(),
            kind,
            model,
        };
        post(&self.orders, SubmitOrder { order, reply });
        match answer.await {
            Ok(Ok(orders::Outcome::Done)) => (StatusCode::OK, json!({"backend": backend})),
            Ok(Err(OrderError::UnknownBackend)) => {
                let detail = format!("no backend server `{backend}` in the configuration in force");
                problem_response(StatusCode::NOT_FOUND, "unknown-backend", &detail)
            }
            _ => {
                let detail = "the order failed or timed out; it may have taken effect";
                problem_response(StatusCode::BAD_GATEWAY, "order-failed", detail)
            }
        }
    }

    // --- fleet

    async fn status(&self) -> JsonResponse {
        let config = self.view.config();
        let unready = self
            .view
            .unready(clock::now())
            .map(|refusal| format!("{:?}", refusal.reason));
        let members = self.fleet.send(ListMembers).await.unwrap_or_default();
        let document = json!({
            "host": self.own.host,
            "failure_domain": self.own.failure_domain,
            "incarnation": self.own.incarnation.to_string(),
            "site": config.site,
            "config_version": config.version,
            "ready": unready.is_none(),
            "unready_reason": unready,
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "members": members.len() + 1,
            "counters": self.counters.to_json(),
        });
        (StatusCode::OK, document)
    }

    async fn hosts(&self) -> JsonResponse {
        let members = self.fleet.send(ListMembers).await.unwrap_or_default();
        let mut hosts = vec![json!({
            "host": self.own.host,
            "failure_domain": self.own.failure_domain,
            "incarnation": self.own.incarnation.to_string(),
            "caller_address": self.own.caller_address,
            "peer_address": self.own.peer_address,
            "state": "self",
        })];
        hosts.extend(members.iter().map(|member| {
            json!({
                "host": member.host,
                "failure_domain": member.failure_domain,
                "incarnation": member.incarnation.to_string(),
                "peer_address": member.peer_address,
                "state": member.state.to_string(),
            })
        }));
        (StatusCode::OK, json!({ "hosts": hosts }))
    }
}

/// Parses a grant's identifier as it stands in a statement, `INCARNATION-NUMBER`.
fn parse_grant_id(text: &str) -> Option<GrantId> {
    let (incarnation, number) = text.split_once('-')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    Some(GrantId(Incarnation(incarnation), number.parse().ok()?))
}

fn unknown_budget_response(name: &str) -> JsonResponse {
    let detail = format!("no budget `{name}` in the configuration in force");
    problem_response(StatusCode::NOT_FOUND, "unknown-budget", &detail)
}

/// Returns the response to a call that was refused or had a reply of another kind.
fn refusal_response(reply: Result<MoneyReply, Refusal>) -> JsonResponse {
    let reason = match reply {
        Err(refusal) => format!("{:?}", refusal.reason),
        Ok(_) => "unexpected reply".to_owned(),
    };
    problem_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "ledger-unavailable",
        &reason,
    )
}

/// Returns a response with a problem document (RFC 9457).
fn problem_response(status: StatusCode, reason: &str, detail: &str) -> JsonResponse {
    let title = status.canonical_reason().unwrap_or_default();
    let document = json!({
        "type": "about:blank",
        "title": title,
        "status": status.as_u16(),
        "reason": reason,
        "detail": detail,
    });
    (status, document)
}

#[cfg(test)]
mod tests;
