use toucanchute_call::{Caller, CallerOptions, Request, Verdict, verify};
use toucanchute_fakes::answer_token;
use yare::parameterized;

use crate::scripted::{Router, ok, whole_answer};

const STREAM: &str = "\
data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n\
: comment\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\r\n\r\n\
data: {\"choices\":[{\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}],\
\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

fn caller(router: &Router) -> Caller {
    Caller::new(vec![router.address], "desk-token", CallerOptions::default())
}

#[tokio::test]
async fn request_carries_token_key_and_deadline() {
    let router = Router::start(&[&whole_answer("hello")]);
    let req = Request::completion("m", "p", 9).deadline(700).fresh_key();
    let answer = caller(&router).send(&req, "k-1").await.unwrap();
    assert_eq!((answer.text.as_str(), answer.tries), ("hello", 1));
    assert_eq!((answer.prompt_tokens, answer.completion_tokens), (2, 3));
    assert_eq!(answer.logged_key, "4be1");
    let sent = &router.requests()[0];
    for part in [
        "POST /v1/chat/completions ",
        "authorization: Bearer desk-token\r\n",
        "idempotency-key: k-1\r\n",
        "toucanchute-deadline-ms: 700\r\n",
        "toucanchute-retry: 0\r\n",
        "\"max_tokens\":9,\"stream\":false}",
    ] {
        assert!(sent.contains(part), "{part} in {sent}");
    }
}

#[tokio::test]
async fn stream_is_passed_on_piece_by_piece() {
    let router = Router::start(&[&ok("text/event-stream", STREAM)]);
    let req = Request::completion("m", "p", 9).streamed();
    let mut pieces = Vec::new();
    let mut show = |piece: &str| pieces.push(piece.to_owned());
    let answer = caller(&router).send_with(&req, "k", &mut show).await;
    let answer = answer.unwrap();
    assert_eq!(
        (answer.text.as_str(), answer.completion_tokens),
        ("a b ", 2)
    );
    assert_eq!(answer.timing.gaps.len(), 1);
    assert_eq!(pieces, ["a ", "b "]);
}

#[tokio::test]
async fn service_answer_keeps_its_status() {
    let router = Router::start(&[&ok("text/plain", "van 7")]);
    let req = Request::service("booking", "/vans", "{}");
    let answer = caller(&router).send(&req, "k").await.unwrap();
    assert_eq!((answer.status, answer.text.as_str()), (200, "van 7"));
    assert!(router.requests()[0].starts_with("POST /v1/services/booking/vans "));
}

#[parameterized(
    own = { "p", &[0, 1, 2], 3, Verdict::Correct },
    foreign = { "q", &[0, 1, 2], 3, Verdict::OtherRequest },
    missing = { "p", &[0, 2], 3, Verdict::Corrupt },
    doubled = { "p", &[0, 1, 1], 3, Verdict::Corrupt },
    swapped = { "p", &[1, 0], 2, Verdict::Corrupt },
    cut = { "p", &[0, 1], 3, Verdict::Corrupt },
    empty = { "p", &[], 0, Verdict::Corrupt },
)]
fn completion_is_verified(prompt: &str, tokens: &[u64], count: u64, expected: Verdict) {
    let text: String = tokens.iter().map(|&i| answer_token(prompt, i)).collect();
    assert_eq!(
        verdict(&Request::completion("m", "p", 9), &text, count),
        expected
    );
}

#[parameterized(
    own = { "{\"path\":\"/v\",\"run\":1}", Verdict::Correct },
    foreign = { "{\"path\":\"/w\",\"run\":1}", Verdict::OtherRequest },
    rerun = { "{\"path\":\"/v\",\"run\":2}", Verdict::Rerun },
    malformed = { "{\"path\":\"/v\"", Verdict::Corrupt },
)]
fn call_is_verified(text: &str, expected: Verdict) {
    assert_eq!(
        verdict(&Request::service("s", "/v", "{}"), text, 0),
        expected
    );
}

/// Sends `req` to a router that answers with `text` and returns the verdict on the answer.
fn verdict(req: &Request, text: &str, tokens: u64) -> Verdict {
    let body = serde_json::json!({
        "choices": [{"message": {"content": text}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 1, "completion_tokens": tokens},
    });
    let is_call = matches!(req.work, toucanchute_call::Work::Service { .. });
    let body = if is_call {
        text.to_owned()
    } else {
        body.to_string()
    };
    let router = Router::start(&[&ok("application/json", &body)]);
    let rt = tokio::runtime::Runtime::new().unwrap();
    let answer = rt.block_on(caller(&router).send(req, "k")).unwrap();
    verify(req, &answer)
}
