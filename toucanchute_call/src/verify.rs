use serde::Deserialize;

use crate::{
    answer::Answer,
    request::{Request, Work},
};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Result of checking an answer of the fake engine or service against its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is the whole answer to the request.
    Correct,
    /// The answer belongs to another request.
    OtherRequest,
    /// The answer has parts missing, doubled or out of order, or cannot be parsed.
    Corrupt,
    /// The service call ran more than once under its key.
    Rerun,
}

/// Answer of the fake plain service.
#[derive(Deserialize)]
struct ServiceAnswer {
    path: String,
    run: u64,
}

/// Checks an answer of the fake engine or service, whose text is determined by the request.
///
/// Token `i` of the engine's answer is the 64-bit FNV-1a hash of the prompt in hexadecimal digits,
/// a point, `i` and a space.
#[must_use]
pub fn verify(req: &Request, answer: &Answer) -> Verdict {
    match &req.work {
        Work::Completion { prompt, .. } => {
            verify_completion(prompt, &answer.text, answer.completion_tokens)
        }
        Work::Service { path, .. } => verify_service_call(path, &answer.text),
    }
}

fn verify_completion(prompt: &str, text: &str, tokens: u64) -> Verdict {
    let tag = format!("{:016x}.", fnv1a(prompt));
    if text
        .split_whitespace()
        .any(|token| !token.starts_with(&tag))
    {
        return Verdict::OtherRequest;
    }
    let expected: String = (0..tokens).map(|i| format!("{tag}{i} ")).collect();
    match text == expected && tokens > 0 {
        true => Verdict::Correct,
        false => Verdict::Corrupt,
    }
}

fn verify_service_call(path: &str, text: &str) -> Verdict {
    match serde_json::from_str::<ServiceAnswer>(text) {
        Err(_) => Verdict::Corrupt,
        Ok(answer) if answer.path != path => Verdict::OtherRequest,
        Ok(answer) if answer.run > 1 => Verdict::Rerun,
        Ok(_) => Verdict::Correct,
    }
}

fn fnv1a(prompt: &str) -> u64 {
    let step = |hash: u64, &b: &u8| (hash ^ u64::from(b)).wrapping_mul(FNV_PRIME);
    prompt.as_bytes().iter().fold(FNV_OFFSET, step)
}
