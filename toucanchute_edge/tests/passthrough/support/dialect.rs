//! A dialect with header names of these tests.

use http::{HeaderMap, HeaderName, HeaderValue, request, response};
use toucanchute_edge::passthrough::{
    Dialect, ForwardInfo, PromptPart, RateLimitHeader, RequestInfo, ResponseInfo, TokenBound,
    strip_connection_headers,
};
use toucanchute_proto::{Millis, RequestRate};

/// Dialect with header names of these tests.
pub(crate) struct TestDialect;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses parts of a prompt, as `ID:TOKENS` separated by commas, with hexadecimal identifiers.
fn parse_prompt(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.split_once(':').unwrap();
        PromptPart {
            id: u64::from_str_radix(id, 16).unwrap(),
            tokens: tokens.parse().unwrap(),
        }
    });
    parts.collect()
}

impl Dialect for TestDialect {
    fn read_request(&self, head: &request::Parts) -> RequestInfo {
        let headers = &head.headers;
        let tokens = header_text(headers, "x-tokens").and_then(|t| t.split_once('+'));
        RequestInfo {
            attempt: header_text(headers, "x-attempt").map(str::to_owned),
            credential: header_text(headers, "x-key").map(|k| k.to_owned().into()),
            timeout: header_text(headers, "x-patience")
                .and_then(|p| p.parse().ok())
                .map(Millis),
            tokens: tokens.map(|(prompt, output)| TokenBound {
                prompt: prompt.parse().unwrap(),
                output: output.parse().unwrap(),
            }),
            prompt: header_text(headers, "x-prompt")
                .map(parse_prompt)
                .unwrap_or_default(),
            output_estimate: None,
            resume_after: header_text(headers, "x-after").and_then(|id| id.parse().ok()),
            resumes: header_text(headers, "x-resumes").map(|a| a.to_owned().into()),
        }
    }

    fn forward_headers(&self, head: &request::Parts, forward: &ForwardInfo<'_>) -> HeaderMap {
        let mut headers = head.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove("x-key");
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::try_from(value).unwrap();
            headers.insert(HeaderName::from_static(name), value);
        };
        set("x-backend", forward.backend.to_owned());
        set("x-customer", forward.customer.unwrap_or("-").to_owned());
        if let Some(id) = forward.resume_after {
            set("x-resume-after", id.to_string());
        }
        headers
    }

    fn read_response(&self, head: &response::Parts) -> ResponseInfo {
        let headers = &head.headers;
        let attempts = headers.get_all("x-attempt").iter();
        let attempts: Vec<&str> = attempts.map(|a| a.to_str().unwrap()).collect();
        ResponseInfo {
            attempt: (!attempts.is_empty()).then(|| attempts.join(",")),
            sealed: headers.contains_key("x-seal"),
            not_run: headers.contains_key("x-not-run"),
            misdirected: head.status == 421,
            encoded: headers.contains_key("content-encoding"),
            leaving: headers.contains_key("x-leaving"),
            retry_after: header_text(headers, "x-rest").map(|ms| Millis(ms.parse().unwrap())),
            cold: None,
            rate_limit: header_text(headers, "x-limit")
                .and_then(|rate| RequestRate::from_per_second(rate.parse().unwrap()))
                .map_or(RateLimitHeader::Absent, RateLimitHeader::Limit),
            load: None,
            keep_alive: None,
            closes_connection: header_text(headers, "connection") == Some("close"),
        }
    }
}
