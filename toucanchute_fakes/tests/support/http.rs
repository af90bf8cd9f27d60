use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, Error},
    rt::TokioExecutor,
};
use serde_json::Value;

/// Status and body of a response. An incomplete body is an error.
pub(crate) type Answer = Result<(u16, String), String>;

pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::from(body.to_owned())).unwrap();
    let res = client
        .request(req)
        .await
        .map_err(|e: Error| e.to_string())?;
    let status = res.status().as_u16();
    let body = res.into_body().collect().await.map_err(|e| e.to_string())?;
    Ok((status, String::from_utf8(body.to_bytes().to_vec()).unwrap()))
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: &str) -> Answer {
    send(address, Method::POST, path, &[], body).await
}

pub(crate) async fn get_json(address: SocketAddr, path: &str) -> Value {
    let (status, body) = send(address, Method::GET, path, &[], "").await.unwrap();
    assert_eq!(status, 200, "{body}");
    serde_json::from_str(&body).unwrap()
}
