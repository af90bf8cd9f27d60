use serde::Deserialize;

/// API by which a completion is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Plain,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    pub(super) api: Api,
    pub(super) model: String,
    pub(super) prompt: String,
    /// Maximum length of the complete answer, in tokens.
    pub(super) max_tokens: Option<u64>,
    pub(super) stream: bool,
    /// Number of tokens that the caller already has.
    pub(super) resume: u64,
}

#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    model: String,
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume: Resume,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Debug, Default, Deserialize)]
struct Resume {
    tokens: u64,
    text: String,
}

impl CompletionRequest {
    pub(super) fn parse(api: Api, body: &[u8]) -> Result<CompletionRequest, String> {
        let body: Body = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let contents = body.messages.into_iter().map(|message| message.content);
        let prompt = match api {
            Api::Chat => contents.collect::<Vec<_>>().join("\n"),
            Api::Plain => body.prompt.unwrap_or_default(),
        };
        if prompt.is_empty() {
            return Err("the prompt is empty".to_owned());
        }
        let expected_text = (0..body.resume.tokens).map(|i| super::answer_token(&prompt, i));
        if expected_text.collect::<String>() != body.resume.text {
            return Err("the text to resume is not of this prompt's answer".to_owned());
        }
        Ok(CompletionRequest {
            api,
            model: body.model,
            prompt,
            max_tokens: body.max_tokens,
            stream: body.stream,
            resume: body.resume.tokens,
        })
    }
}
