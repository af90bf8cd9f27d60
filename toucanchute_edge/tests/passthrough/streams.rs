//! Streams that are relayed, resumed at another backend server or broken off.

use crate::support::{
    Backend, LAST_CHUNK, Script, TestGateway, chunk, event, event_ids as ids, stream_head,
};

const RESUMABLE: &str = r#","resumable":true,"attempts":2"#;

/// A request with a prompt of 100 tokens and at most 400 tokens in the response.
const REQUEST: &str = "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
    X-Tokens: 100+400\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| chunk(&event(id))).collect()
}

#[tokio::test]
async fn events_are_relayed_and_counted() {
    let answer = stream_head() + &events(1..=5) + LAST_CHUNK;
    let backend = Backend::start(Script::Answer(answer)).await;
    let gateway = TestGateway::start("stream", "", &[&backend]).await;
    let res = gateway.send_raw(REQUEST).await;
    assert_eq!(ids(&res), [1, 2, 3, 4, 5]);
    assert!(res.ends_with("0\r\n\r\n"), "{res}");
    assert_eq!(gateway.tokens_used().await, [150]);
}

#[tokio::test]
async fn another_backend_server_resumes_a_stream() {
    let half = event(3);
    let broken = stream_head() + &events(1..=2) + &chunk(&half[..5]);
    let first = Backend::start(Script::AnswerAndClose(broken)).await;
    let rest = stream_head() + &events(3..=4) + LAST_CHUNK;
    let second = Backend::start(Script::Answer(rest)).await;
    let gateway = TestGateway::start("stream", RESUMABLE, &[&first, &second]).await;
    let res = gateway.send_raw(REQUEST).await;
    assert_eq!(ids(&res), [1, 2, 3, 4]);
    assert!(res.ends_with("0\r\n\r\n"), "{res}");
    assert!(second.request(0).contains("x-resume-after: 2"));
    assert_eq!(gateway.tokens_used().await, [140]);
}

#[tokio::test]
async fn events_that_the_caller_has_are_not_relayed_again() {
    let broken = stream_head() + &events(1..=2);
    let first = Backend::start(Script::AnswerAndClose(broken)).await;
    let again = stream_head() + &events(2..=3) + LAST_CHUNK;
    let second = Backend::start(Script::Answer(again)).await;
    let gateway = TestGateway::start("stream", RESUMABLE, &[&first, &second]).await;
    assert_eq!(ids(&gateway.send_raw(REQUEST).await), [1, 2, 3]);
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_does_not_look_complete() {
    let broken = stream_head() + &events(1..=2);
    let first = Backend::start(Script::AnswerAndClose(broken)).await;
    let second = Backend::start(Script::Answer(stream_head() + LAST_CHUNK)).await;
    let gateway = TestGateway::start("stream", r#","attempts":2"#, &[&first, &second]).await;
    let res = gateway.send_raw(REQUEST).await;
    assert_eq!(ids(&res), [1, 2]);
    assert!(!res.ends_with("0\r\n\r\n"), "{res}");
    assert_eq!(second.request_count(), 0);
}

#[tokio::test]
async fn a_stream_without_an_event_costs_nothing() {
    let first = Backend::start(Script::AnswerAndClose(stream_head())).await;
    let gateway = TestGateway::start("stream", "", &[&first]).await;
    gateway.send_raw(REQUEST).await;
    assert_eq!(gateway.tokens_used().await, [0]);
}

#[tokio::test]
async fn a_caller_that_disconnects_is_charged_for_the_events_it_received() {
    use tokio::io::AsyncReadExt;
    let answer = stream_head() + &events(1..=2);
    let backend = Backend::start(Script::Answer(answer)).await;
    let gateway = TestGateway::start("stream", "", &[&backend]).await;
    let mut stream = gateway.connect(REQUEST).await;
    let mut buf = [0; 4_096];
    let mut text = String::new();
    while ids(&text).len() < 2 {
        let len = stream.read(&mut buf).await.unwrap();
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    drop(stream);
    assert_eq!(gateway.tokens_used().await, [120]);
}
