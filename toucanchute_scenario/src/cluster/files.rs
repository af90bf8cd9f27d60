//! Settings files and configuration files of a cluster.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};

use super::{CUSTOMER, CUSTOMER_TOKEN, OPERATOR_TOKEN};

/// Failure domains, to which hosts are assigned round-robin.
const FAILURE_DOMAINS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];

fn failure_domain(index: usize) -> &'static str {
    FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()]
}

/// Values in the settings file of a router.
#[derive(Debug)]
pub(super) struct RouterSettings {
    pub(super) name: String,
    pub(super) index: usize,
    pub(super) listen: SocketAddr,
    pub(super) peer_listen: SocketAddr,
    pub(super) peer_advertise: SocketAddr,
    pub(super) platform: SocketAddr,
}

impl RouterSettings {
    pub(super) fn to_ini(&self, peers: &[SocketAddr]) -> String {
        let digest: String = Sha256::digest(OPERATOR_TOKEN)
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
        format!(
            "[router]\n\
             host = {}\n\
             failure_domain = {}\n\
             region = north\n\
             listen = {}\n\
             peer_listen = {}\n\
             peer_advertise = {}\n\
             operator_token_sha256 = {digest}\n\
             peer_secret = scenario-peers\n\
             [peers]\n\
             addresses = {}\n\
             [platform]\n\
             endpoints = {}\n\
             hosts = {}\n\
             timeout = 500 ms\n",
            self.name,
            failure_domain(self.index),
            self.listen,
            self.peer_listen,
            self.peer_advertise,
            peers.join(", "),
            self.platform,
            self.platform,
        )
    }
}

/// Returns the configuration without backend servers.
pub(super) fn site_config(ledger: &str) -> String {
    format!(
        "[site]\n\
         name = scenario\n\
         [routing]\n\
         answer_timeout = 20 s\n\
         address_max_age = 1 s\n\
         retry_share = 100\n\
         [ledger]\n\
         shards = 2\n\
         ring = 8\n\
         {ledger}\n\
         [pool engine]\n\
         kind = engine\n\
         fencing = checked\n\
         [pool service]\n\
         kind = service\n\
         [model assistant]\n\
         pool = engine\n\
         [service booking]\n\
         pool = service\n\
         idempotent = false\n\
         price = 20\n\
         timeout = 5 s\n\
         [service lookup]\n\
         pool = service\n\
         idempotent = true\n\
         price = 5\n\
         timeout = 5 s\n\
         [budget budget]\n\
         [customer {CUSTOMER}]\n\
         budget = budget\n\
         token = {CUSTOMER_TOKEN}\n"
    )
}

/// Returns the configuration section of a backend server.
pub(super) fn backend_section(name: &str, pool: &str, address: SocketAddr, index: usize) -> String {
    let failure_domain = failure_domain(index);
    format!(
        "[backend {name}]\npool = {pool}\naddress = {address}\nfailure_domain = {failure_domain}\n"
    )
}
