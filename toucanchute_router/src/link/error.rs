use snafu::Snafu;
use toucanchute_proto::Incarnation;

/// Why a link between two routers could not be opened or was closed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub(crate) enum LinkError {
    /// The TCP connection failed.
    #[snafu(display("cannot open a TCP connection to the peer: {source}"))]
    Connect { source: std::io::Error },
    /// The WebSocket layer failed.
    #[snafu(display("WebSocket connection to the peer failed: {source}"))]
    WebSocket {
        #[snafu(source(from(tokio_tungstenite::tungstenite::Error, Box::new)))]
        source: Box<tokio_tungstenite::tungstenite::Error>,
    },
    /// The other side closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
    /// A frame could not be decoded.
    #[snafu(display("cannot decode a frame from the peer: {detail}"))]
    Decode { detail: String },
    /// The peer sent a frame of the wrong kind in the handshake.
    #[snafu(display("the peer sent an unexpected frame in the handshake"))]
    UnexpectedFrame,
    /// The peer's proof does not match the secret of this router.
    #[snafu(display(
        "peer {from} does not have the shared secret; set the same [router] peer_secret on all hosts"
    ))]
    SecretMismatch { from: Incarnation },
    /// The connection leads back to this router.
    #[snafu(display("the connection leads back to this router"))]
    SelfConnection,
    /// Opening the connection or the handshake took too long, or the peer sent nothing for too
    /// long.
    #[snafu(display("timed out waiting for the peer"))]
    Timeout,
}
