//! Backend servers that say in answers that they leave or want rest.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::watch, task::JoinSet};
use toucanchute_proto::config;

use crate::{
    live::Live,
    support::{Backend, LAST_CHUNK, Script, chunk, event, stream_head, whole},
};

/// Requests sent after a word.
const REQUESTS: usize = 8;

/// Rest that servers ask for.
const REST: Duration = Duration::from_millis(1_200);

/// A gateway before servers that answer with these bytes.
struct Site {
    live: Live,
    servers: Vec<Backend>,
    /// Keeps the registrations; all servers are listed all the time.
    listed: watch::Sender<Vec<config::Backend>>,
}

impl Site {
    async fn start(kind: &str, extra: &str, answers: &[&str]) -> Site {
        let mut servers = Vec::new();
        for answer in answers {
            servers.push(Backend::start(Script::Answer((*answer).to_owned())).await);
        }
        let list = servers.iter().enumerate().map(|(i, s)| config::Backend {
            name: format!("s{i}"),
            pool: "svc".to_owned(),
            address: s.address.to_string(),
            failure_domain: "d".to_owned(),
        });
        let listed = watch::Sender::new(list.collect());
        let live = Live::start(kind, extra, listed.subscribe()).await;
        Site {
            live,
            servers,
            listed,
        }
    }

    async fn send(&self, requests: usize) -> Vec<String> {
        let mut answers = Vec::new();
        for i in 0..requests {
            answers.push(self.live.send(&format!("body {i}")).await);
            // A stale registration is taken in again and again.
            self.listed.send_modify(|_| {});
        }
        answers
    }
}

fn good() -> String {
    whole("200 OK", "X-Seal: s\r\n", "hello")
}

fn rest_header() -> String {
    format!("X-Not-Run: 1\r\nX-Rest: {}\r\n", REST.as_millis())
}

fn resting() -> String {
    whole("503 Service Unavailable", &rest_header(), "")
}

/// Guards against work for a server after an answer of it that said that it leaves.
async fn one_answer_is_the_last(kind: &str, leaving: &str) {
    let site = Site::start(
        kind,
        r#","attempts":2,"resumable":true"#,
        &[leaving, leaving],
    )
    .await;
    site.send(REQUESTS).await;
    let counts: Vec<usize> = site.servers.iter().map(Backend::count).collect();
    assert_eq!(counts, [1, 1]);
}

macro_rules! a_server_that_says_it_leaves_gets_no_further_request {
    ($($name:ident: $kind:expr, $answer:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            one_answer_is_the_last($kind, &$answer).await;
        }
    )*};
}

a_server_that_says_it_leaves_gets_no_further_request! {
    said_in_a_success: "idempotent", whole("200 OK", "X-Seal: s\r\nX-Leaving: 1\r\n", "hello");
    said_in_a_failure: "non-idempotent", whole("500 Error", "X-Seal: s\r\nX-Leaving: 1\r\n", "");
    said_in_a_refusal: "idempotent", whole("503 Full", "X-Not-Run: 1\r\nX-Leaving: 1\r\n", "");
    said_in_a_shed: "idempotent", whole("429 Busy", "X-Not-Run: 1\r\nX-Leaving: 1\r\n", "");
    said_with_another_address: "idempotent", whole("421 Other", "X-Not-Run: 1\r\nX-Leaving: 1\r\n", "");
    said_in_an_answer_to_another_request: "idempotent",
        whole("200 OK", "X-Seal: s\r\nX-Leaving: 1\r\n", "hello").replace("a1", "b2");
    said_in_the_head_of_a_stream: "stream", format!(
        "{}{}{LAST_CHUNK}",
        stream_head().replace("X-Seal: s", "X-Seal: s\r\nX-Leaving: 1"),
        chunk(&event(1))
    );
}

#[tokio::test]
async fn the_last_answer_of_a_leaving_server_reaches_its_caller() {
    let leaving = whole("200 OK", "X-Seal: s\r\nX-Leaving: 1\r\n", "hello");
    let site = Site::start("idempotent", "", &[&leaving]).await;
    let answers = site.send(2).await;
    assert!(answers[0].ends_with("hello"), "{}", answers[0]);
    assert!(answers[1].contains("no-backend"), "{}", answers[1]);
}

// Guards against requests that go on to a server that turned one away and asked for rest.
#[tokio::test]
async fn a_server_that_asked_for_rest_is_left_alone_and_others_serve() {
    let site = Site::start("idempotent", r#","attempts":2"#, &[&resting(), &good()]).await;
    // One after the other until the first server was met, then more at once than the other one takes.
    while site.servers[0].count() == 0 {
        site.send(1).await;
    }
    let site = Arc::new(site);
    let mut callers = JoinSet::new();
    for _ in 0..4 * REQUESTS {
        let site = Arc::clone(&site);
        callers.spawn(async move { site.send(1).await });
    }
    for answer in callers.join_all().await.concat() {
        assert!(answer.ends_with("hello"), "{answer}");
    }
    assert_eq!(site.servers[0].count(), 1);
}

#[tokio::test]
async fn while_all_servers_rest_callers_are_told_when_to_come_back() {
    let site = Site::start("idempotent", r#","attempts":1"#, &[&resting()]).await;
    let began = Instant::now();
    site.send(1).await;
    let refused = site.send(REQUESTS).await;
    assert!(began.elapsed() < REST);
    assert_eq!(site.servers[0].count(), 1);
    for answer in refused {
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("backends-resting"), "{answer}");
        let after = answer.split("retry-after: ").nth(1);
        let after = after.and_then(|a| a.lines().next()?.parse::<f64>().ok());
        let left = REST.saturating_sub(began.elapsed()).as_secs_f64();
        assert!(after.is_some_and(|a| a >= left && a <= 2.0), "{answer}");
    }
}

#[tokio::test]
async fn a_rested_server_gets_work_again() {
    let site = Site::start("idempotent", r#","attempts":1"#, &[&resting()]).await;
    site.send(1).await;
    // The longest time by which a return is put off, and some more.
    tokio::time::sleep(REST + REST / 4).await;
    site.send(1).await;
    assert_eq!(site.servers[0].count(), 2);
}
