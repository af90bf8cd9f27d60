//! A sound backend server that sends nothing for a while and then goes on, while no other one is free.

use std::time::Duration;

use crate::{
    raw_backend::{RawBackend, Step},
    support::{LAST_CHUNK, TestGateway, chunk, event, stream_head},
};

/// Time for which the server is silent. It is longer than the router waits for an event before it
/// looks for another server.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Where in its response a server falls silent.
#[derive(Clone, Copy, Debug)]
enum SilentBefore {
    Head,
    SecondEvent,
}

/// Returns the response to a resumable stream whose only server is silent for [`SILENCE`].
async fn stream_of_silent_server(at: SilentBefore) -> String {
    let first = [Step::Write(stream_head()), Step::Write(chunk(&event(1)))];
    let rest = [
        Step::Write(chunk(&event(2))),
        Step::Write(LAST_CHUNK.to_owned()),
    ];
    let pause = [Step::Pause(SILENCE)];
    let steps = match at {
        SilentBefore::Head => [&[Step::Run], &pause[..], &first, &rest].concat(),
        SilentBefore::SecondEvent => [&[Step::Run], &first[..], &pause, &rest].concat(),
    };
    let backend = RawBackend::start(vec![steps]).await;
    let extra = r#","resumable":true,"attempts":3,"gap_target_ms":600,"target_ms":1000"#;
    let gateway = TestGateway::start("stream", extra, &[&backend.backend]).await;
    gateway.send("POST /a/b", "body").await
}

/// Names tests of streams whose server falls silent.
macro_rules! survives_silence {
    ($($(#[$doc:meta])* $name:ident: $at:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let res = stream_of_silent_server($at).await;
            assert!(res.starts_with("HTTP/1.1 200") && res.ends_with(LAST_CHUNK), "{res:?}");
        }
    )*};
}

survives_silence! {
    /// Guards against an attempt that is given up before another server has answered.
    a_stream_of_a_server_that_is_silent_before_its_head_is_whole: SilentBefore::Head;
    /// Guards against a stream that is cut before another server has taken it over.
    a_stream_of_a_server_that_is_silent_between_events_is_whole: SilentBefore::SecondEvent;
}
