//! Serves the platform's readiness checks and the callers' lookups of router addresses.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use tokio::{net::TcpListener, sync::watch};
use toucanchute_edge::passthrough::PlannedStop;
use toucanchute_platform::{ApiRequest, api_response, read_api_request};
use toucanchute_proto::{Millis, fleet::MemberState};

use super::http_server;
use crate::{clock, view::RouterView};

/// Addresses of other failure domains are only added to reach this number.
const MIN_LISTED_ADDRESSES: usize = 2;

/// Most addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Responds to readiness checks and address lookups with the last state that the fleet actor
/// published.
pub(super) struct DirectoryService {
    pub(super) view: Arc<RouterView>,
    /// The planned stop of the process, once it has begun.
    pub(super) stop: watch::Receiver<Option<PlannedStop>>,
    /// Address of this router for callers.
    pub(super) own_address: SocketAddr,
    pub(super) own_failure_domain: String,
    /// How long callers may cache the addresses.
    pub(super) address_max_age: Millis,
}

impl DirectoryService {
    fn respond<B>(&self, req: &Request<B>) -> Response<Full<Bytes>> {
        match read_api_request(req) {
            Some(ApiRequest::Ready) => api_response::ready(self.is_ready()),
            Some(ApiRequest::Addresses { failure_domain, .. }) => {
                api_response::addresses(self.addresses(&failure_domain), self.address_max_age.0)
            }
            None => api_response::not_found(),
        }
    }

    fn is_ready(&self) -> bool {
        let leaving = self.stop.borrow().is_some();
        !leaving && self.view.unready(clock::now()).is_none()
    }

    /// Returns the addresses of the routers in the caller's failure domain in random order,
    /// followed by some of other failure domains if there are fewer than
    /// [`MIN_LISTED_ADDRESSES`].
    fn addresses(&self, failure_domain: &str) -> Vec<SocketAddr> {
        let members = self.view.members();
        let alive = members.iter().filter(|m| m.state == MemberState::Alive);
        let mut routers: Vec<(&str, SocketAddr)> = alive
            .map(|m| (m.failure_domain.as_str(), m.caller_address))
            .collect();
        if self.is_ready() {
            routers.push((&self.own_failure_domain, self.own_address));
        }
        routers.shuffle(&mut rand::rng());
        let (near, far): (Vec<_>, Vec<_>) = routers
            .into_iter()
            .partition(|(domain, _)| *domain == failure_domain);
        let missing = MIN_LISTED_ADDRESSES.saturating_sub(near.len());
        let far = far.into_iter().take(missing);
        let all = near.into_iter().chain(far).map(|(_, address)| address);
        all.take(MAX_ADDRESSES).collect()
    }
}

/// Serves `listener` until `ended` resolves.
pub(super) async fn serve(
    listener: TcpListener,
    service: Arc<DirectoryService>,
    ended: impl Future<Output = ()>,
) {
    let respond = move |req: &Request<Incoming>| service.respond(req);
    http_server::serve(listener, "directory", respond, ended).await;
}
