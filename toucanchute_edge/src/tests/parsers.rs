use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, header};
use proptest::{collection::vec, prelude::*};
use serde_json::{Value, json};
use toucanchute_proto::Millis;

use super::config;
use crate::{
    caller::{self, CallerRequest},
    completion::{CompletionKind, CompletionRequest},
    config_index::{ConfigIndex, parse_sha256},
    route::Route,
    sse::{SseParser, write_event},
};

/// SHA-256 of "secret".
const TOKEN_SHA256: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// Parses a stream that arrives in `pieces` and returns all events; `None` if the parser fails.
fn parse(pieces: &[&[u8]]) -> Option<Vec<Bytes>> {
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(piece);
        while let Some(event) = parser.next_event().ok()? {
            events.push(event);
        }
    }
    Some(events)
}

fn index() -> Arc<ConfigIndex> {
    let config = json!({"site": "s", "version": 1, "ledger": {}, "routing": {},
        "customers": [{"name": "c", "budget": "b", "token_sha256": TOKEN_SHA256}]});
    Arc::new(ConfigIndex::new(Arc::new(
        serde_json::from_value(config).unwrap(),
    )))
}

#[test]
fn event_without_end_is_bounded() {
    assert!(parse(&[&b"data: x".repeat(100_000)]).is_none());
    assert!(parse(&[&b"data: x\n".repeat(300_000)]).is_none());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn events_survive_any_split(
        texts in vec("[^\r]{0,40}", 0..8),
        cuts in vec(any::<prop::sample::Index>(), 0..6),
        crlf: bool,
    ) {
        let mut out = BytesMut::new();
        for text in &texts {
            out.extend_from_slice(b": comment\nid: 3\n");
            write_event(&mut out, text.as_bytes());
        }
        let text = String::from_utf8(out.to_vec()).unwrap();
        let stream = if crlf { text.replace('\n', "\r\n") } else { text };
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(stream.len() + 1)).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let pieces = cuts.windows(2).map(|cut| &stream.as_bytes()[cut[0]..cut[1]]);
        let events = parse(&pieces.collect::<Vec<_>>()).unwrap();
        prop_assert_eq!(events, texts);
    }

    #[test]
    fn any_bytes_are_parsed_as_events(pieces in vec(vec(any::<u8>(), 0..64), 0..16)) {
        let pieces: Vec<_> = pieces.iter().map(Vec::as_slice).collect();
        parse(&pieces);
    }

    #[test]
    fn any_path_is_routed(path in "(/v1)?(/services|/admin|/completions)?[/a-z%.é]{0,20}") {
        match Route::parse(&Method::POST, &path) {
            Ok(Route::Service { name, path: rest }) => {
                prop_assert!(!name.is_empty() && !name.contains('/') && rest.starts_with('/'));
                let prefix = format!("/v1/services/{name}");
                prop_assert!(path.starts_with(&prefix));
            }
            Ok(Route::Admin) => prop_assert!(path.starts_with("/v1/admin/")),
            Ok(route) => prop_assert!(matches!(route, Route::TextCompletion), "{route:?}"),
            Err(err) => prop_assert!(!err.to_string().is_empty()),
        }
    }

    #[test]
    fn any_headers_are_parsed(
        key in vec(any::<u8>(), 0..300),
        expires in "-?[0-9a-z ]{0,22}",
        deadline in "-?[0-9]{0,22}",
        token in vec(any::<u8>(), 0..40),
        now in 0..1_u64 << 50,
    ) {
        let mut headers = HeaderMap::new();
        let mut put = |name: &str, value: &[u8]| {
            if let Ok(value) = HeaderValue::from_bytes(value) {
                let name = http::HeaderName::try_from(name).unwrap();
                headers.insert(name, value);
            }
        };
        put("idempotency-key", &key);
        put("idempotency-expires", expires.as_bytes());
        put("toucanchute-deadline-ms", deadline.as_bytes());
        put("authorization", &token);
        let index = index();
        caller::bearer_token(&headers);
        headers.remove(header::AUTHORIZATION);
        let customer = index.authenticate(b"secret").unwrap();
        let now = Millis(now);
        let req = CallerRequest::new(index, customer, "/", &headers, Bytes::new(), now);
        if let Ok(req) = req {
            prop_assert!(req.expires > now && req.expires <= now + Millis(86_400_000));
            prop_assert!(req.deadline >= now && req.deadline <= now + Millis(30_000));
        }
    }

    #[test]
    fn any_digest_text_is_parsed(text in "[0-9a-fA-Fg]{60,66}") {
        let valid = text.len() == 64 && !text.contains('g');
        prop_assert_eq!(parse_sha256(&text).is_some(), valid);
    }

    #[test]
    fn any_completion_is_parsed(
        prompt in ".{0,200}",
        max_tokens in prop::option::of(any::<i64>()),
        cut in any::<prop::sample::Index>(),
        junk in vec(any::<u8>(), 0..3),
    ) {
        let body = json!({"model": "m", "prompt": prompt, "max_tokens": max_tokens, "extra": [1]});
        let mut body = body.to_string().into_bytes();
        let kind = CompletionKind::Text;
        if let Ok(mut req) = CompletionRequest::from_json(kind, &body, 512) {
            prop_assert_eq!(req.max_tokens, max_tokens.map_or(512, |n| n as u64));
            prop_assert!(req.max_total_tokens() > req.max_tokens + prompt.len() as u64 / 4);
            let sent: Value = serde_json::from_slice(&req.engine_body(7, Some((2, "ab")))).unwrap();
            prop_assert_eq!(&sent["resume"], &json!({"tokens": 2, "text": "ab"}));
            prop_assert_eq!(&sent["max_tokens"], 7);
            prop_assert_eq!(&sent["extra"], &json!([1]));
        } else {
            prop_assert!(max_tokens.is_some_and(|n| !(1..=1 << 24).contains(&n)));
        }
        let at = cut.index(body.len());
        body.splice(at..at, junk);
        let _ = CompletionRequest::from_json(kind, &body, 512);
        let _ = CompletionRequest::from_json(CompletionKind::Chat, &body[..at], 512);
    }
}
