use std::net::{SocketAddr, TcpListener};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client as HttpClient, rt::TokioExecutor};
use toucanchute_fakes::{Platform, PlatformOptions};
use toucanchute_proto::Millis;
use toucanchute_store::{Client, ClientSettings};

/// Timeout of a call in tests in which no call hangs.
const TIMEOUT: Millis = Millis(5_000);

/// Starts a fake platform that publishes changes of its host list without a delay.
pub(crate) async fn start_platform() -> Platform {
    let options = PlatformOptions {
        host_lag_ms: 0,
        ..PlatformOptions::default()
    };
    Platform::bind("127.0.0.1:0".parse().unwrap(), options)
        .await
        .unwrap()
}

pub(crate) fn client(endpoints: Vec<SocketAddr>) -> Client {
    let settings = ClientSettings {
        timeout: TIMEOUT,
        ..ClientSettings::new(endpoints)
    };
    Client::new(ClientSettings {
        watch_retry_delay: Millis(10),
        ..settings
    })
}

/// Returns an address at which nothing listens.
pub(crate) fn unreachable_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Sends a request, checks that its status is 200 and returns the response body.
pub(crate) async fn send(address: SocketAddr, method: &str, path: &str, body: &str) -> Bytes {
    let http = HttpClient::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    let res = http
        .request(req.body(Full::from(body.to_owned())).unwrap())
        .await
        .unwrap();
    assert_eq!(res.status(), 200);
    res.into_body().collect().await.unwrap().to_bytes()
}

/// Sets the fault that `platform` injects; `{}` ends it.
pub(crate) async fn inject_fault(platform: &Platform, body: &str) {
    send(platform.address(), "POST", "/fault", body).await;
}
