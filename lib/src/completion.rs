//! A caller's completion request, and the bodies that engines get for it.

use bytes::Bytes;
use serde_json::Map;
use serde_json::Value;

use crate::CompletionRequest;
use crate::Error;
use crate::ErrorKind;
use crate::Result;

/// Most tokens that a caller may ask for.
const MAX_TOKENS: u32 = 1_000_000;

/// Bytes of text taken for one token.
const TOKEN_BYTES: f64 = 4.0;

/// Cost of a prompt token, in generated tokens.
const PROMPT_COST: f64 = 0.125;

/// Length of the beginning of a prompt by which requests are brought together, in bytes.
const PREFIX_BYTES: usize = 256;

/// Field of a resumed request that holds the text that the caller has.
const RESUME_TEXT: &str = "resume_text";

/// A completion request with all of its fields, known or not.
#[derive(Clone, Debug)]
pub(crate) struct Completion {
    /// Fields that the gate reads.
    pub(crate) known: CompletionRequest,
    /// Text that the caller already has, in a resumed request.
    pub(crate) text: Option<String>,
    fields: Map<String, Value>,
}

impl Completion {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] when the body is no completion request.
    pub(crate) fn parse(body: &[u8]) -> Result<Self> {
        let mut fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|e| bad_body(&e))?;
        let text = match fields.remove(RESUME_TEXT) {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) => Some(text),
            Some(_) => {
                let detail = "resume_text must be a string";
                return Err(Error::new(ErrorKind::BadRequest, detail));
            }
        };
        let known: CompletionRequest =
            serde_json::from_value(Value::Object(fields.clone())).map_err(|e| bad_body(&e))?;
        if !(1..=MAX_TOKENS).contains(&known.max_tokens) {
            let detail = format!("max_tokens must be between 1 and {MAX_TOKENS}");
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        Ok(Self {
            known,
            text,
            fields,
        })
    }

    /// Returns the body for an engine that continues after `text`, which has `tokens` tokens.
    pub(crate) fn body_after(&self, text: &str, tokens: u32) -> Bytes {
        let mut fields = self.fields.clone();
        let prompt = format!("{}{text}", self.known.prompt);
        let left = self.known.max_tokens.saturating_sub(tokens);
        fields.insert(String::from("prompt"), Value::from(prompt));
        fields.insert(String::from("max_tokens"), Value::from(left));
        fields.insert(String::from("stream"), Value::from(true));
        Bytes::from(serde_json::to_vec(&fields).unwrap_or_default())
    }

    /// Returns the cost in tokens; a prompt token costs an eighth of a generated one.
    pub(crate) fn cost(&self) -> f64 {
        let prompt = self.known.prompt.len() as f64 / TOKEN_BYTES;
        f64::from(self.known.max_tokens) + prompt * PROMPT_COST
    }

    /// Returns a hash of the beginning of the prompt, which requests with the same
    /// instructions share.
    pub(crate) fn affinity(&self) -> u64 {
        let prompt = self.known.prompt.as_bytes();
        xxhash_rust::xxh3::xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
    }

    /// Returns a digest of the request without the text that the caller already has.
    pub(crate) fn digest(&self) -> u64 {
        let bytes = serde_json::to_vec(&self.fields).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

fn bad_body(error: &serde_json::Error) -> Error {
    let detail = format!("the body is not a completion request: {error}");
    Error::new(ErrorKind::BadRequest, detail)
}
