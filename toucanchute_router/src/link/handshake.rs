use std::time::Duration;

use toucanchute_proto::{
    Incarnation,
    peer::{FrameKind, Hello, Proof},
};

use super::{
    connection::Connection,
    error::{self, LinkError},
    frame::encode,
};

/// Time limit of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Identity of this router towards its peers, and the secret that it shares with them.
#[derive(Clone, Debug)]
pub(crate) struct LinkIdentity {
    /// Incarnation of this process.
    pub(crate) incarnation: Incarnation,
    /// Introduction sent to peers. Each link replaces the nonce in it by a random one.
    pub(crate) hello: Hello,
    /// Secret shared by all routers of the deployment.
    pub(crate) secret: String,
}

/// Exchanges introductions and proofs of the shared secret with a peer. Returns the peer's
/// incarnation and introduction.
pub(super) async fn perform(
    conn: &mut Connection,
    identity: &LinkIdentity,
) -> Result<(Incarnation, Hello), LinkError> {
    let exchange = exchange_proofs(conn, identity);
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => error::TimeoutSnafu.fail(),
    }
}

async fn exchange_proofs(
    conn: &mut Connection,
    identity: &LinkIdentity,
) -> Result<(Incarnation, Hello), LinkError> {
    let own = identity.incarnation;
    let nonce = rand::random();
    let hello = Hello {
        nonce,
        ..identity.hello.clone()
    };
    conn.writer
        .send(encode(own, FrameKind::Hello, &hello))
        .await?;
    let frame = conn.reader.receive_kind(FrameKind::Hello).await?;
    let from = frame.from;
    if from == own {
        return error::SelfConnectionSnafu.fail();
    }
    let hello: Hello = frame.message()?;
    let mac = mac(&identity.secret, hello.nonce, own);
    conn.writer
        .send(encode(own, FrameKind::Proof, &Proof { mac }))
        .await?;
    let proof: Proof = conn
        .reader
        .receive_kind(FrameKind::Proof)
        .await?
        .message()?;
    if proof.mac != self::mac(&identity.secret, nonce, from) {
        return error::SecretMismatchSnafu { from }.fail();
    }
    Ok((from, hello))
}

fn mac(secret: &str, nonce: u64, sender: Incarnation) -> String {
    let key = blake3::derive_key("toucanchute 2026 peer link", secret.as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(&nonce.to_le_bytes());
    hasher.update(&sender.0.to_le_bytes());
    hasher.finalize().to_hex().to_string()
}
