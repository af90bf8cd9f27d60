//! Serves the platform's readiness checks and the callers' lookups of router addresses.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use tokio::{net::TcpListener, sync::watch};
use toucanchute_core::{
    fleet::MemberView,
    placement::{CallerDomain, FULL_SHARE, HostCapacity, PlacedHost, can_relieve, choose_hosts},
};
use toucanchute_edge::passthrough::PlannedStop;
use toucanchute_platform::{ApiRequest, api_response, read_api_request};
use toucanchute_proto::{Millis, fleet::MemberState};

use super::{host_link::HostLink, http_server};
use crate::{clock, view::RouterView};

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
    pub(super) own_region: String,
    /// What this router's host can carry.
    pub(super) own_capacity: HostCapacity,
    pub(super) host_link: Arc<HostLink>,
    /// How long callers may cache the addresses.
    pub(super) address_max_age: Millis,
}

impl DirectoryService {
    fn respond<B>(&self, req: &Request<B>) -> Response<Full<Bytes>> {
        match read_api_request(req) {
            Some(ApiRequest::Ready) => api_response::ready(self.is_ready() && !self.is_relieved()),
            Some(ApiRequest::Addresses {
                region,
                failure_domain,
            }) => {
                let addresses = self.addresses(&region, &failure_domain);
                api_response::addresses(addresses, self.address_max_age.0)
            }
            None => api_response::not_found(),
        }
    }

    fn is_ready(&self) -> bool {
        let leaving = self.stop.borrow().is_some();
        !leaving && self.view.unready(clock::now()).is_none()
    }

    /// Whether load balancers that follow the readiness check should send callers elsewhere for a while: this
    /// host is nearly choked, and others of its failure domain are not. Callers that share one router come to it
    /// whatever the lists of addresses say.
    fn is_relieved(&self) -> bool {
        if !self.host_link.is_relieved() {
            return false;
        }
        let members = self.view.members();
        let alive = members.iter().filter(|m| m.state == MemberState::Alive);
        let others = alive.map(|m| ListedRouter::from(m).host);
        can_relieve(others, &self.own_failure_domain)
    }

    /// Returns addresses of routers for a caller of this region and failure domain, see [`choose_hosts`].
    fn addresses(&self, region: &str, failure_domain: &str) -> Vec<SocketAddr> {
        let members = self.view.members();
        let takes_callers = listed_states(&members);
        let others = members.iter().filter(|m| takes_callers.contains(&m.state));
        let mut routers: Vec<ListedRouter<'_>> = others.map(ListedRouter::from).collect();
        if self.is_ready() {
            routers.push(self.own_entry());
        }
        let caller = CallerDomain {
            region,
            failure_domain,
        };
        routers.shuffle(&mut rand::rng());
        choose(&routers, caller)
    }

    fn own_entry(&self) -> ListedRouter<'_> {
        ListedRouter {
            host: PlacedHost {
                region: &self.own_region,
                failure_domain: &self.own_failure_domain,
                capacity: self.own_capacity,
                share: self.host_link.list_share(),
            },
            address: self.own_address,
        }
    }
}

/// A router that takes callers.
struct ListedRouter<'a> {
    host: PlacedHost<'a>,
    address: SocketAddr,
}

impl<'a> From<&'a MemberView> for ListedRouter<'a> {
    fn from(member: &'a MemberView) -> ListedRouter<'a> {
        ListedRouter {
            host: PlacedHost {
                region: &member.region,
                failure_domain: &member.failure_domain,
                capacity: HostCapacity {
                    processor: member.capacity,
                    bandwidth: member.bandwidth,
                },
                share: member.list_share,
            },
            address: member.caller_address,
        }
    }
}

/// Returns the states of members that callers may use. Suspected ones are among them while no other member is
/// alive: then this router is the one that is cut off, and would name itself alone.
fn listed_states(members: &[MemberView]) -> &'static [MemberState] {
    match members.iter().any(|m| m.state == MemberState::Alive) {
        true => &[MemberState::Alive],
        false => &[MemberState::Alive, MemberState::Suspect],
    }
}

/// Returns the addresses of the routers that a caller should use.
fn choose(routers: &[ListedRouter<'_>], caller: CallerDomain<'_>) -> Vec<SocketAddr> {
    let hosts: Vec<PlacedHost<'_>> = routers.iter().map(|r| r.host).collect();
    let draw = || rand::random_range(0..FULL_SHARE);
    let chosen = choose_hosts(&hosts, caller, draw).into_iter();
    chosen
        .map(|i| routers[i].address)
        .take(MAX_ADDRESSES)
        .collect()
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
