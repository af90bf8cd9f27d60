//! Backend servers that accept no connection for a while, with a full queue of connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// Length of the queue of connections that a server has not accepted.
const QUEUE_LENGTH: u32 = 1;

/// Time in which a connection to a server is opened unless its queue is full.
const OPENING_TIME: Duration = Duration::from_millis(100);

/// A listener whose queue of connections is full.
pub(crate) struct FullQueue {
    listener: TcpListener,
    /// The connections in the queue.
    queued: Vec<TcpStream>,
}

/// Listens at a free address, with a short queue.
pub(crate) fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(QUEUE_LENGTH).unwrap()
}

impl FullQueue {
    /// Fills the queue of a listener.
    pub(crate) async fn fill(listener: TcpListener) -> FullQueue {
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        while let Ok(opened) = timeout(OPENING_TIME, TcpStream::connect(address)).await {
            queued.push(opened.unwrap());
        }
        FullQueue { listener, queued }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits and empties the queue. Returns the listener, which can accept connections.
    pub(crate) async fn empty_after(self, silence: Duration) -> TcpListener {
        tokio::time::sleep(silence).await;
        for _ in &self.queued {
            drop(self.listener.accept().await.unwrap());
        }
        self.listener
    }
}
