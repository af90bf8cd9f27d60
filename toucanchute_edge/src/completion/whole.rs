use bytes::Bytes;
use http::{HeaderValue, Response, header};
use hyper::body::Incoming;

use super::{
    chunk::{Usage, WholeAnswer},
    run::{AttemptEnd, CompletionRun, LastPart},
};
use crate::{
    attempt::Attempt,
    backend::{self, BackendError},
    body::AnswerBody,
    control::Control,
    settings::{duration, now},
};

impl<C: Control> CompletionRun<'_, C> {
    /// Reads a model engine's answer that is not streamed.
    pub(crate) async fn read_whole_answer(
        &mut self,
        attempt: &Attempt<'_, C>,
        body: Incoming,
    ) -> AttemptEnd {
        let limit = self.shared.settings.max_answer_bytes;
        let longest = self.shared.settings.answer_timeout;
        let span = self.caller.whole_answer_timeout(now(), longest);
        let read = tokio::time::timeout(duration(span), backend::read_body(body, limit));
        let read = tokio::select! {
            read = read => read,
            () = self.reply.caller_gone() => return AttemptEnd::CallerGone,
        };
        let checked = match read {
            Ok(Ok(body)) => check_id(&attempt.id().to_string(), &body).map(|usage| (body, usage)),
            Ok(Err(err)) => Err(err),
            Err(_) => Err(BackendError::Timeout),
        };
        match checked {
            Ok((body, usage)) => {
                attempt.report_first_token();
                AttemptEnd::Finished {
                    tokens: usage.prompt_tokens.min(self.req.prompt_tokens)
                        + usage.completion_tokens,
                    last: LastPart::Whole(json_response(body)),
                }
            }
            Err(err) => AttemptEnd::Failed(err),
        }
    }
}

fn check_id(id: &str, body: &[u8]) -> Result<Usage, BackendError> {
    let malformed = |detail| Err(BackendError::Malformed { detail });
    match serde_json::from_slice::<WholeAnswer<'_>>(body) {
        Ok(answer) if answer.id == id => Ok(answer.usage),
        Ok(answer) => malformed(format!(
            "received an answer of attempt {} for {id}",
            answer.id
        )),
        Err(err) => malformed(err.to_string()),
    }
}

fn json_response(body: Bytes) -> Response<AnswerBody> {
    let mut res = Response::new(AnswerBody::Whole(Some(body)));
    let kind = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}
