//! A request, or a part of a prompt, that crashes backend servers, sent repeatedly through the real
//! dispatcher.

mod servers;

use std::time::Duration;

use self::servers::{CRASHING_PART, CrashMode, CrashingServers};
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

// A part of prompts

/// Number of requests with the crashing part.
const PART_REQUESTS: usize = 24;

/// Number of crashes up to which the users allow further runs of requests with one part, plus the
/// number of runs allowed after them.
const MAX_PART_CRASHES: usize = 5 + 3;

/// Sends requests with the crashing part, each with another body and last part, and after each a
/// sound request that shares the first part. Returns the last response to a request of either kind.
async fn send_part_requests(gateway: &DispatcherGateway) -> (String, String) {
    let mut last = (String::new(), String::new());
    for n in 0..PART_REQUESTS {
        let prompt = format!("a1:100,{CRASHING_PART},{n:x}:10");
        last.0 = gateway.send_prompt(&prompt, &format!("with-{n}")).await;
        let prompt = format!("a1:100,c0ffee:50,{n:x}:10");
        last.1 = gateway.send_prompt(&prompt, &format!("sound-{n}")).await;
        tokio::time::sleep(COPY_INTERVAL).await;
    }
    last
}

/// Guards against a prompt part that crashes one server after the other, in requests no two of which
/// are alike.
async fn assert_crashes_under_a_part_are_bounded(mode: CrashMode, kind: &str) {
    let servers = CrashingServers::start(SERVERS, mode).await;
    let gateway = DispatcherGateway::start(kind, "", servers.registrations.subscribe()).await;
    let (crashing, sound) = send_part_requests(&gateway).await;
    assert!(
        servers.crash_count() <= MAX_PART_CRASHES,
        "{} crashes",
        servers.crash_count()
    );
    assert!(crashing.contains("quarantined"), "{crashing}");
    assert!(sound.ends_with("hello"), "{sound}");
}

macro_rules! a_part_that_crashes_servers_is_quarantined {
    ($($name:ident: $mode:expr, $kind:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            assert_crashes_under_a_part_are_bounded($mode, $kind).await;
        }
    )*};
}

a_part_that_crashes_servers_is_quarantined! {
    a_part_under_which_connections_are_refused_is_contained: CrashMode::RefusesConnections, "idempotent";
    a_part_in_calls_is_contained: CrashMode::RefusesConnections, "non-idempotent";
    a_part_under_which_servers_are_back_at_once_is_contained: CrashMode::RestartsAtOnce, "idempotent";
    a_part_under_which_servers_end_silently_is_contained: CrashMode::Hangs, "idempotent";
    a_part_under_which_answers_break_off_is_contained: CrashMode::BreaksOffResponse, "idempotent";
    a_part_under_which_answers_without_length_end_is_contained: CrashMode::EndsUndelimitedResponse, "idempotent";
    a_part_under_which_answers_without_length_end_before_a_restart_is_contained: CrashMode::EndsUndelimitedResponseAndRestarts, "idempotent";
    a_part_under_which_servers_fail_in_turn_is_contained: CrashMode::FailsEverySecond, "non-idempotent";
}
