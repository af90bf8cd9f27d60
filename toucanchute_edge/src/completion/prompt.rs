use serde_json::Value;

/// Size of the blocks of a prompt whose prefixes are hashed.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Largest number of blocks that are hashed.
const MAX_PREFIX_BLOCKS: usize = 32;
/// Bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 2;
/// Tokens that a model engine adds to each message.
const TOKENS_PER_MESSAGE: u64 = 8;

/// Text of a prompt and number of its messages.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Text of all messages, separated by line feeds.
    pub(crate) text: String,
    /// Number of messages; 1 for a prompt that is a string.
    pub(crate) messages: u64,
}

impl Prompt {
    /// Parses the `messages` of a chat completion; `None` if they are malformed.
    pub(crate) fn from_messages(messages: &Value) -> Option<Prompt> {
        let mut prompt = Prompt::default();
        for message in messages.as_array()? {
            if prompt.messages > 0 {
                prompt.text.push('\n');
            }
            prompt.messages += 1;
            prompt.push_content(message.as_object()?.get("content")?)?;
        }
        (prompt.messages > 0).then_some(prompt)
    }

    /// Parses the `prompt` of a text completion; `None` if it is not a string.
    pub(crate) fn from_text(prompt: &Value) -> Option<Prompt> {
        Some(Prompt {
            text: prompt.as_str()?.to_owned(),
            messages: 1,
        })
    }

    /// Returns the number of tokens to reserve for the prompt. For prose the estimate is above the
    /// number that a model engine counts.
    pub(crate) fn token_estimate(&self) -> u64 {
        let text = (self.text.len() as u64).div_ceil(BYTES_PER_TOKEN);
        text + self.messages * TOKENS_PER_MESSAGE
    }

    /// Returns a hash for each prefix of whole blocks, that of the longest prefix last.
    pub(crate) fn prefix_hashes(&self) -> Vec<u64> {
        let mut previous = 0_u64;
        let blocks = self.text.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES);
        let hash = |block: &[u8]| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&previous.to_be_bytes());
            hasher.update(block);
            let hash = hasher.finalize();
            let (head, _) = hash.as_bytes().split_at(8);
            previous = head.iter().fold(0, |sum, &b| sum << 8 | u64::from(b));
            previous
        };
        blocks.take(MAX_PREFIX_BLOCKS).map(hash).collect()
    }

    fn push_content(&mut self, content: &Value) -> Option<()> {
        match content {
            Value::Null => {}
            Value::String(text) => self.text.push_str(text),
            Value::Array(parts) => {
                let texts = parts.iter().filter_map(|part| part.get("text"));
                texts
                    .filter_map(Value::as_str)
                    .for_each(|text| self.text.push_str(text));
            }
            _ => return None,
        }
        Some(())
    }
}
