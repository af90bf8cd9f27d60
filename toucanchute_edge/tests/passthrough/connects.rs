//! Sound backend servers that accept no connection for a while and then go on.

use std::{net::SocketAddr, time::Duration};

use tokio::{io::AsyncWriteExt, sync::watch};
use toucanchute_proto::config;

use crate::{
    dispatcher_gateway::DispatcherGateway, full_queue::FullQueue, raw_backend::read_request,
    support::full_response,
};

/// Time for which a server accepts no connection.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Starts a server that accepts no connection for [`SILENCE`], and returns its address.
async fn start_silent_server() -> SocketAddr {
    let queue = FullQueue::listen("127.0.0.1:0".parse().unwrap()).await;
    let address = queue.address();
    tokio::spawn(async move {
        let listener = queue.empty_after(SILENCE).await;
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while read_request(&mut stream).await.is_some() {
                    let res = full_response("200 OK", "X-Seal: s\r\n", "hello");
                    drop(stream.write_all(res.as_bytes()).await);
                }
            });
        }
    });
    address
}

/// Guards against a sound server that is ejected as unreachable because it accepts no connection for
/// a moment, so that its requests are refused.
#[tokio::test]
async fn a_request_to_the_only_server_that_accepts_no_connection_for_a_moment_is_served() {
    let backend = config::Backend {
        name: "s0".to_owned(),
        pool: "svc".to_owned(),
        address: start_silent_server().await.to_string(),
        failure_domain: "d".to_owned(),
    };
    let registrations = watch::Sender::new(vec![backend]);
    let gateway = DispatcherGateway::start("non-idempotent", "", registrations.subscribe()).await;
    let res = gateway.send_within(CALLER_TIMEOUT, "body").await;
    assert!(res.ends_with("hello"), "{res}");
}
