use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};
use toucanchute_proto::peer::FrameKind;

use super::{
    error::{self, LinkError},
    frame::Frame,
};

/// Time limit for opening a TCP connection and its WebSocket.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of a link's read buffer. Most frames are smaller, and a router has many links.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Maximum size of a message; a configuration of many thousand routes fits in.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// One WebSocket connection to another router.
pub(super) struct Connection {
    /// Sending half. It is independent of the receiving half, so that two routers whose send
    /// buffers are full do not block each other.
    pub(super) writer: FrameWriter,
    /// Receiving half.
    pub(super) reader: FrameReader,
}

/// Sending half of a [`Connection`].
pub(super) struct FrameWriter {
    sink: SplitSink<WebSocketStream<TcpStream>, Message>,
}

/// Receiving half of a [`Connection`].
pub(super) struct FrameReader {
    stream: SplitStream<WebSocketStream<TcpStream>>,
}

impl Connection {
    fn new(socket: WebSocketStream<TcpStream>) -> Connection {
        let (sink, stream) = socket.split();
        Connection {
            writer: FrameWriter { sink },
            reader: FrameReader { stream },
        }
    }

    /// Opens a connection to the router at `address`.
    pub(super) async fn dial(address: SocketAddr) -> Result<Connection, LinkError> {
        let dial = async {
            let stream = TcpStream::connect(address)
                .await
                .context(error::ConnectSnafu)?;
            let _ = stream.set_nodelay(true);
            let url = format!("ws://{address}/peer");
            let opened =
                tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config()))
                    .await;
            let (socket, _) = opened.context(error::WebSocketSnafu)?;
            Ok(Connection::new(socket))
        };
        match tokio::time::timeout(DIAL_TIMEOUT, dial).await {
            Ok(result) => result,
            Err(_) => error::TimeoutSnafu.fail(),
        }
    }

    /// Accepts a connection that another router opened.
    pub(super) async fn accept(stream: TcpStream) -> Result<Connection, LinkError> {
        let _ = stream.set_nodelay(true);
        let opening = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()));
        match tokio::time::timeout(DIAL_TIMEOUT, opening).await {
            Ok(opened) => Ok(Connection::new(opened.context(error::WebSocketSnafu)?)),
            Err(_) => error::TimeoutSnafu.fail(),
        }
    }
}

/// Returns the buffer and message sizes of a link. Frames are written without buffering.
fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

impl FrameWriter {
    /// Sends one encoded frame.
    pub(super) async fn send(&mut self, frame: Bytes) -> Result<(), LinkError> {
        self.sink
            .send(Message::Binary(frame))
            .await
            .context(error::WebSocketSnafu)
    }

    /// Sends a keepalive. It is an unsolicited pong, because the library would answer each ping.
    pub(super) async fn send_keepalive(&mut self) -> Result<(), LinkError> {
        let pong = Message::Pong(Bytes::new());
        self.sink.send(pong).await.context(error::WebSocketSnafu)
    }
}

impl FrameReader {
    /// Receives the next message; `None` if it is a keepalive or a frame of a kind from a later
    /// protocol version.
    pub(super) async fn receive(&mut self) -> Result<Option<Frame>, LinkError> {
        let Some(message) = self.stream.next().await else {
            return error::ClosedSnafu.fail();
        };
        match message.context(error::WebSocketSnafu)? {
            Message::Binary(buf) => Frame::decode(&buf),
            Message::Close(_) => error::ClosedSnafu.fail(),
            Message::Text(_) | Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => Ok(None),
        }
    }

    /// Receives the next frame. Fails if it is not of `kind`; keepalives are skipped.
    pub(super) async fn receive_kind(&mut self, kind: FrameKind) -> Result<Frame, LinkError> {
        loop {
            match self.receive().await? {
                Some(frame) if frame.kind == kind => return Ok(frame),
                Some(_) => return error::UnexpectedFrameSnafu.fail(),
                None => {}
            }
        }
    }
}
