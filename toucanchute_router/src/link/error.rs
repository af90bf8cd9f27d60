use snafu::Snafu;
use toucanchute_proto::Incarnation;

/// A link between two routers that could not be opened or broke.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub(crate) enum LinkError {
    /// The TCP connection failed.
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: std::io::Error },
    /// The WebSocket layer failed.
    #[snafu(display("connection broke: {source}"))]
    WebSocket {
        #[snafu(source(from(tokio_tungstenite::tungstenite::Error, Box::new)))]
        source: Box<tokio_tungstenite::tungstenite::Error>,
    },
    /// The other side closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
    /// A frame could not be decoded.
    #[snafu(display("cannot decode a frame: {detail}"))]
    Decode { detail: String },
    /// The handshake sent a frame of the wrong kind.
    #[snafu(display("unexpected frame in the handshake"))]
    UnexpectedFrame,
    /// The peer does not know the secret.
    #[snafu(display(
        "peer {from} does not know the secret; set the same [router] peer_secret on all hosts"
    ))]
    SecretMismatch { from: Incarnation },
    /// The address leads back to this router.
    #[snafu(display("the address is this router's own"))]
    SelfConnection,
    /// The handshake or a dial took too long.
    #[snafu(display("timed out"))]
    Timeout,
}
