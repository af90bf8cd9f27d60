use std::{io::Write as _, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

use super::serve;

/// Number of callers whose connections are in the backlog.
const CALLERS: usize = 20;

/// Longest time that the server may take to end.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// Connects and sends a request without giving the server, which runs on the same thread, a chance
/// to accept.
fn send_now(address: SocketAddr) -> TcpStream {
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let req = b"GET / HTTP/1.1\r\nHost: router\r\n\r\n";
    stream.write_all(req).unwrap();
    stream.set_nonblocking(true).unwrap();
    TcpStream::from_std(stream).unwrap()
}

/// Guards against connections in the backlog that the end of the process resets.
#[tokio::test]
async fn requests_on_queued_connections_are_answered_when_the_server_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (end, ended) = oneshot::channel::<()>();
    let respond = |_: &_| Response::new(Full::new(Bytes::from_static(b"hello")));
    let served = tokio::spawn(serve(listener, "test", respond, async {
        drop(ended.await);
    }));
    let mut callers: Vec<TcpStream> = (0..CALLERS).map(|_| send_now(address)).collect();
    drop(end);
    for caller in &mut callers {
        let mut res = String::new();
        caller.read_to_string(&mut res).await.unwrap();
        assert!(res.ends_with("hello"), "{res}");
        assert!(res.contains("connection: close"), "{res}");
        caller.shutdown().await.unwrap();
    }
    drop(callers);
    let ended = tokio::time::timeout(END_TIMEOUT, served).await;
    ended.expect("the server does not end").unwrap();
}
