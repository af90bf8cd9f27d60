//! How a connection that is no longer used is closed, so that no request or response is lost.

use std::{io, net::Shutdown, time::Duration};

use tokio::{net::TcpStream, sync::watch, time::timeout};

use super::{ConnectionTracker, has_unread_bytes};

/// How long nothing must have happened on a connection before a planned stop closes it. It leaves
/// time for a request that the caller sends as soon as the connection is open or its last response
/// has arrived.
const MIN_QUIET_TIME: Duration = Duration::from_millis(500);

/// Interval between two checks whether a connection is quiet, during a planned stop.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the router still reads what a caller sends after it has closed its own half. A socket
/// that is closed with unread bytes is reset, and the reset discards responses that the caller has
/// not read yet.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// How long the caller may pause while it sends the rest of a body that was answered before its end.
/// It may read the response only after it has sent everything.
const UNREAD_BODY_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which the rest of such a body is read.
const MAX_UNREAD_BODY_TIME: Duration = Duration::from_secs(10);

/// Extension of a response that is sent although the body of its request was not read to the end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadBody;

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// Resolves when a planned stop may close the connection: it has begun, nothing has happened on the
/// connection for a while, and no bytes of the caller are unread.
pub(super) async fn quiet_at_stop(
    stream: &TcpStream,
    tracker: &ConnectionTracker,
    mut stopping: watch::Receiver<bool>,
) {
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        // The listener is gone, and with it the stop.
        std::future::pending::<()>().await;
    }
    loop {
        let is_quiet = tracker.quiet_time().is_some_and(|t| t >= MIN_QUIET_TIME);
        if is_quiet && !has_unread_bytes(stream) {
            return;
        }
        tokio::time::sleep(QUIET_CHECK_INTERVAL).await;
    }
}

/// Closes the sending half, then reads until the caller has closed its own, for a limited time.
pub(super) async fn linger(stream: &TcpStream, tracker: &ConnectionTracker) {
    if tracker.is_closed_by_caller() {
        return;
    }
    if socket2::SockRef::from(stream)
        .shutdown(Shutdown::Write)
        .is_ok()
    {
        let (pause, time) = match tracker.has_unread_body() {
            true => (UNREAD_BODY_PAUSE, MAX_UNREAD_BODY_TIME),
            false => (LINGER_TIME, LINGER_TIME),
        };
        drop(timeout(time, discard_rest(stream, tracker, pause)).await);
    }
}

/// Reads until the caller has closed its half or sends nothing for `pause`.
async fn discard_rest(
    stream: &TcpStream,
    tracker: &ConnectionTracker,
    pause: Duration,
) -> io::Result<()> {
    let mut buf = [0; DISCARD_BUFFER_BYTES];
    loop {
        timeout(pause, stream.readable()).await??;
        match stream.try_read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(_) => tracker.crossed(),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}
