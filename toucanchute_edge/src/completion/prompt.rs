use serde_json::Value;

/// Bytes of a prompt's block that is hashed as a whole.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Most blocks that are hashed.
const MAX_PREFIX_BLOCKS: usize = 32;
/// Bytes of a prompt that are taken for one token.
const BYTES_PER_TOKEN: u64 = 2;
/// Tokens that an engine adds to each message.
const TOKENS_PER_MESSAGE: u64 = 8;

/// Text of a prompt and the number of its messages.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Texts of all messages, each but the last followed by a line end.
    pub(crate) text: String,
    /// Number of messages; 1 for a plain prompt.
    pub(crate) messages: u64,
}

impl Prompt {
    /// Reads the `messages` of a chat; `None` if they have another form.
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

    /// Reads the `prompt` of a text completion; `None` if it is no string.
    pub(crate) fn from_text(prompt: &Value) -> Option<Prompt> {
        Some(Prompt {
            text: prompt.as_str()?.to_owned(),
            messages: 1,
        })
    }

    /// Returns the number of tokens reserved for the prompt; on the safe side for prose.
    pub(crate) fn token_estimate(&self) -> u64 {
        let text = (self.text.len() as u64).div_ceil(BYTES_PER_TOKEN);
        text + self.messages * TOKENS_PER_MESSAGE
    }

    /// Returns the hashes of the leading blocks, the longest prefix last.
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
