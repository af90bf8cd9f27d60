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

/// Longest time of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Who this router is and the secret that its peers share.
#[derive(Clone, Debug)]
pub(crate) struct LinkIdentity {
    /// This run of the process.
    pub(crate) incarnation: Incarnation,
    /// Introduction sent to peers; the nonce is filled in for each link.
    pub(crate) hello: Hello,
    /// Secret that all routers of the deployment share.
    pub(crate) secret: String,
}

/// Exchanges introductions and proofs of the secret; returns who the peer is.
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
