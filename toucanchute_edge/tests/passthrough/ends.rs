//! A request under which backend servers end, sent again and again through the real dispatcher.

mod servers;

use std::time::Duration;

use self::servers::{Servers, Way};
use crate::live::Live;

/// Backend servers of the site.
const SERVERS: usize = 12;

/// Times that the request is sent.
const COPIES: usize = 16;

/// Pause between two copies.
const PAUSE: Duration = Duration::from_millis(120);

/// Ends up to which the users allow further runs, and the runs allowed after them.
const MOST_ENDS: usize = 3 + 3;

/// Sends copies one after the other; returns the last answer.
async fn send_copies(live: &Live) -> String {
    let mut last = String::new();
    for _ in 0..COPIES {
        last = live.send("poison").await;
        tokio::time::sleep(PAUSE).await;
    }
    last
}

/// Guards against a request that goes on ending servers because nobody took their ends for ends.
async fn bounded_ends(way: Way, kind: &str) {
    let servers = Servers::start(SERVERS, way).await;
    let live = Live::start(kind, "", servers.listed.subscribe()).await;
    let last = send_copies(&live).await;
    assert!(servers.ended() <= MOST_ENDS, "{} ended", servers.ended());
    assert!(last.contains("quarantined"), "{last}");
    let other = live.send("other").await;
    assert!(other.ends_with("hello"), "{other}");
}

macro_rules! a_request_that_ends_servers_is_stopped {
    ($($name:ident: $way:expr, $kind:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            bounded_ends($way, $kind).await;
        }
    )*};
}

a_request_that_ends_servers_is_stopped! {
    repeats_after_ends_that_refuse_connections_are_bounded: Way::Refuses, "idempotent";
    repeats_of_calls_after_ends_that_refuse_connections_are_bounded: Way::Refuses, "non-idempotent";
    repeats_after_ends_of_servers_that_are_back_at_once_are_bounded: Way::BackAtOnce, "idempotent";
    repeats_after_silent_ends_are_bounded: Way::Silent, "idempotent";
    repeats_after_ends_within_an_answer_are_bounded: Way::WithinAnswer, "idempotent";
    repeats_after_ends_with_failures_in_between_are_bounded: Way::FailsInTurn, "non-idempotent";
    repeats_after_ends_with_rejections_in_between_are_bounded: Way::RejectsInTurn, "idempotent";
}
