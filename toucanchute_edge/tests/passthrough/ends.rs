//! A request that crashes backend servers, sent repeatedly through the real dispatcher.

mod servers;

use std::time::Duration;

use self::servers::{CrashMode, CrashingServers};
use crate::dispatcher_gateway::DispatcherGateway;

/// Number of backend servers of the site.
const SERVERS: usize = 12;

/// Number of times that the request is sent.
const COPIES: usize = 16;

/// Delay between two copies.
const COPY_INTERVAL: Duration = Duration::from_millis(120);

/// Number of crashes up to which the users allow further runs, plus the number of runs allowed
/// after them.
const MAX_CRASHES: usize = 3 + 3;

/// Sends the copies one after the other and returns the last response.
async fn send_copies(gateway: &DispatcherGateway) -> String {
    let mut last = String::new();
    for _ in 0..COPIES {
        last = gateway.send("poison").await;
        tokio::time::sleep(COPY_INTERVAL).await;
    }
    last
}

/// Guards against a request that keeps crashing servers because their crashes are not recognized.
async fn assert_crashes_are_bounded(mode: CrashMode, kind: &str) {
    let servers = CrashingServers::start(SERVERS, mode).await;
    let gateway = DispatcherGateway::start(kind, "", servers.registrations.subscribe()).await;
    let last = send_copies(&gateway).await;
    assert!(
        servers.crash_count() <= MAX_CRASHES,
        "{} crashes",
        servers.crash_count()
    );
    assert!(last.contains("quarantined"), "{last}");
    let other = gateway.send("other").await;
    assert!(other.ends_with("hello"), "{other}");
}

macro_rules! a_request_that_crashes_servers_is_quarantined {
    ($($name:ident: $mode:expr, $kind:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            assert_crashes_are_bounded($mode, $kind).await;
        }
    )*};
}

a_request_that_crashes_servers_is_quarantined! {
    repeats_after_ends_that_refuse_connections_are_bounded: CrashMode::RefusesConnections, "idempotent";
    repeats_of_calls_after_ends_that_refuse_connections_are_bounded: CrashMode::RefusesConnections, "non-idempotent";
    repeats_after_ends_of_servers_that_are_back_at_once_are_bounded: CrashMode::RestartsAtOnce, "idempotent";
    repeats_after_silent_ends_are_bounded: CrashMode::Hangs, "idempotent";
    repeats_after_ends_within_an_answer_are_bounded: CrashMode::BreaksOffResponse, "idempotent";
    repeats_after_ends_with_failures_in_between_are_bounded: CrashMode::FailsEverySecond, "non-idempotent";
    repeats_after_ends_with_rejections_in_between_are_bounded: CrashMode::RejectsEverySecond, "idempotent";
}
