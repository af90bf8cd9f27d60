use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use serde::de::DeserializeOwned;
use toucanchute_proto::api::Problem;

use crate::{
    error::{Error, MalformedResponseSnafu, UnreachableSnafu},
    http::Call,
};

/// Routers that a command may be sent to, in the order of the command line.
#[derive(Debug)]
pub(crate) struct Routers {
    /// At least one address.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Operators' bearer token.
    pub(crate) token: String,
}

impl Routers {
    /// Sends an idempotent call to one router after the other until one serves or refuses it.
    ///
    /// A router that cannot be reached, closes the connection or cannot serve the call at present is
    /// skipped; any other refusal is final.
    pub(crate) async fn call<T: DeserializeOwned>(&self, call: &Call) -> Result<T, Error> {
        let mut causes = Vec::new();
        let mut refusal = None;
        for &address in &self.addresses {
            match call.send(address, &self.token).await {
                Err(e) => causes.push(format!("  {address}: {e}")),
                Ok((status, body)) if status.is_success() => return parse(address, &body),
                Ok((status, body)) => {
                    let refused = Error::Refused {
                        address,
                        problem: Box::new(problem(status, &body)),
                    };
                    if !is_temporary(status) {
                        return Err(refused);
                    }
                    refusal = Some(refused);
                }
            }
        }
        match refusal {
            Some(refused) => Err(refused),
            None => UnreachableSnafu {
                causes: causes.join("\n"),
            }
            .fail(),
        }
    }
}

/// Returns whether another router may serve a call that was refused with this status.
fn is_temporary(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

fn parse<T: DeserializeOwned>(address: SocketAddr, body: &Bytes) -> Result<T, Error> {
    serde_json::from_slice(body).or_else(|e| {
        let cause = e.to_string();
        MalformedResponseSnafu { address, cause }.fail()
    })
}

fn problem(status: StatusCode, body: &Bytes) -> Problem {
    let parsed = serde_json::from_slice(body).ok();
    let mut problem: Problem = parsed.unwrap_or_default();
    problem.status = status.as_u16();
    problem
}
