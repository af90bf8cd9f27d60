use bytes::BytesMut;
use proptest::{collection::vec, prelude::*};
use serde_json::{Value, json};
use toucanchute_proto::Millis;

use super::config;
use crate::{
    completion::AnswerProgress,
    control::{Refusal, RefusalOutcome, RefusalReason, ServiceAnswer},
    problem::Problem,
    run_record::RunRecord,
};

const ID: &str = "00000000000000a1-7";

fn chunk(offset: usize, text: &str) -> Vec<u8> {
    let chunk = json!({"choices": [{"delta": {"content": text}, "finish_reason": null}],
        "id": ID, "offset": offset});
    chunk.to_string().into_bytes()
}

#[test]
fn resumed_stream_keeps_its_identifier() {
    let mut progress = AnswerProgress::new(100);
    let mut out = BytesMut::new();
    progress
        .accept(
            "a-1",
            br#"{"id":"a-1","offset":0,"choices":[{"text":"x"}]}"#,
            &mut out,
        )
        .unwrap();
    progress
        .accept(
            "b-22",
            br#"{"id":"b-22","offset":1,"choices":[{"text":"y"}]}"#,
            &mut out,
        )
        .unwrap();
    let text = String::from_utf8(out.to_vec()).unwrap();
    assert_eq!(text.matches("\"id\":\"a-1\"").count(), 2, "{text}");
    assert!(!text.contains("b-22"), "{text}");
}

#[test]
fn answer_beyond_its_limit_is_rejected() {
    let mut progress = AnswerProgress::new(1);
    let mut out = BytesMut::new();
    progress.accept(ID, &chunk(0, "x"), &mut out).unwrap();
    let relayed = out.len();
    assert!(progress.accept(ID, &chunk(1, "y"), &mut out).is_err());
    assert_eq!((progress.tokens, out.len()), (1, relayed));
}

#[test]
fn large_answer_is_recorded_by_status() {
    let answer = ServiceAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; 11].into(),
    };
    assert_eq!(answer.to_record(11), answer);
    let bounded = answer.to_record(10);
    assert_eq!(bounded.status, 201);
    let body: Value = serde_json::from_slice(&bounded.body).unwrap();
    assert_eq!(body, json!({"recorded": "status", "answer_bytes": 11}));
}

proptest! {
    #![proptest_config(config())]

    /// The caller receives each token once and in order, whichever chunks are repeated; a skipped
    /// token ends the attempt.
    #[test]
    fn offsets_are_checked(
        texts in vec(".{1,8}", 1..20),
        sent in vec(0..20_usize, 0..60),
    ) {
        let mut progress = AnswerProgress::new(100);
        let mut out = BytesMut::new();
        let mut next = 0;
        for offset in sent {
            let Some(text) = texts.get(offset) else {
                continue;
            };
            let accepted = progress.accept(ID, &chunk(offset, text), &mut out);
            prop_assert_eq!(accepted.is_err(), offset > next);
            next += usize::from(offset == next);
            prop_assert_eq!(progress.tokens, next as u64);
            prop_assert_eq!(&progress.text, &texts[..next].concat());
        }
    }

    #[test]
    fn any_bytes_are_parsed_as_chunk(data in vec(any::<u8>(), 0..80), at in 0..70_usize) {
        let mut out = BytesMut::new();
        let _ = AnswerProgress::new(100).accept(ID, &data, &mut out);
        prop_assert!(out.is_empty());
        let mut good = chunk(0, "é\"");
        good.splice(at..(at + 3).min(good.len()), data);
        let _ = AnswerProgress::new(100).accept(ID, &good, &mut out);
    }

    /// A model engine may or may not count a token without text; both are accepted.
    #[test]
    fn empty_tokens_may_count(empty in vec(any::<bool>(), 0..20), counted: bool) {
        let mut progress = AnswerProgress::new(100);
        let mut out = BytesMut::new();
        let mut offset = 0;
        for empty in empty {
            let text = if empty { "" } else { "x" };
            prop_assert!(progress.accept(ID, &chunk(offset, text), &mut out).is_ok());
            offset += usize::from(counted || !empty);
        }
    }

    #[test]
    fn problems_are_one_line_of_json(detail in ".{0,60}|[\n\r]{3}", ms in any::<u64>()) {
        let refusal = Refusal {
            reason: RefusalReason::Overloaded,
            outcome: RefusalOutcome::NothingSent,
            retry_after: Some(Millis(ms)),
            elsewhere: Some(([127, 0, 0, 1], 9).into()),
        };
        let mut problem = Problem::from_refusal(&refusal, &RunRecord::new());
        problem.detail = detail;
        let event = String::from_utf8(problem.to_event().to_vec()).unwrap();
        let data = event.strip_prefix("event: error\ndata: ").unwrap();
        let data = data.strip_suffix("\n\n").unwrap();
        prop_assert!(!data.contains(['\n', '\r']));
        let document: Value = serde_json::from_str(data).unwrap();
        prop_assert_eq!(&document["detail"], &problem.detail);
        prop_assert_eq!(&document["retry_after_ms"], ms);
        let res = problem.into_response();
        let after: u64 = res.headers()["retry-after"].to_str().unwrap().parse().unwrap();
        prop_assert!(after >= 1 && after >= ms / 1_000);
    }
}
