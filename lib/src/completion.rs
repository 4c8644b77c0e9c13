//! Completion requests of callers, and the request bodies that engines receive for them.

use bytes::Bytes;
use serde_json::Map;
use serde_json::Value;

use crate::CompletionRequest;
use crate::Error;
use crate::ErrorKind;
use crate::Result;

/// Maximum value of `max_tokens` in a request.
const MAX_TOKENS: u32 = 1_000_000;

/// Estimated bytes of prompt text per token.
const BYTES_PER_TOKEN: f64 = 4.0;

/// Cost of a prompt token relative to that of a generated token.
const RELATIVE_PROMPT_TOKEN_COST: f64 = 0.125;

/// Maximum length of the prompt prefix that is hashed for prefix-affinity routing, in bytes.
const MAX_AFFINITY_PREFIX_BYTES: usize = 256;

/// Field of a resumed request that holds the text that the caller has already received.
const RESUME_TEXT_FIELD: &str = "resume_text";

/// A parsed completion request, with its unknown fields kept for the engine.
#[derive(Clone, Debug)]
pub(crate) struct Completion {
    /// Fields that the gate interprets.
    pub(crate) request: CompletionRequest,
    /// Text that the caller of a resumed request has already received.
    pub(crate) resume_text: Option<String>,
    /// All fields of the body except `resume_text`.
    fields: Map<String, Value>,
}

impl Completion {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] when the body is not a completion request,
    /// `resume_text` is not a string, or `max_tokens` is out of range.
    pub(crate) fn parse(body: &[u8]) -> Result<Self> {
        let mut fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|e| invalid_body(&e))?;
        let resume_text = match fields.remove(RESUME_TEXT_FIELD) {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) => Some(text),
            Some(_) => {
                let detail = "resume_text must be a string";
                return Err(Error::new(ErrorKind::BadRequest, detail));
            }
        };
        let request: CompletionRequest =
            serde_json::from_value(Value::Object(fields.clone())).map_err(|e| invalid_body(&e))?;
        if !(1..=MAX_TOKENS).contains(&request.max_tokens) {
            let detail = format!("max_tokens must be between 1 and {MAX_TOKENS}");
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        Ok(Self {
            request,
            resume_text,
            fields,
        })
    }

    /// Returns the request body with which an engine continues after `text`, which has `tokens`
    /// tokens.
    pub(crate) fn continuation_body(&self, text: &str, tokens: u32) -> Bytes {
        let mut fields = self.fields.clone();
        let prompt = format!("{}{text}", self.request.prompt);
        let remaining = self.request.max_tokens.saturating_sub(tokens);
        fields.insert(String::from("prompt"), Value::from(prompt));
        fields.insert(String::from("max_tokens"), Value::from(remaining));
        fields.insert(String::from("stream"), Value::from(true));
        Bytes::from(serde_json::to_vec(&fields).unwrap_or_default())
    }

    /// Returns the estimated cost of the request, in generated tokens.
    pub(crate) fn cost(&self) -> f64 {
        let prompt = self.request.prompt.len() as f64 / BYTES_PER_TOKEN;
        f64::from(self.request.max_tokens) + prompt * RELATIVE_PROMPT_TOKEN_COST
    }

    /// Returns a hash of the prompt prefix, which is equal for requests that begin with the same
    /// instructions.
    pub(crate) fn affinity_key(&self) -> u64 {
        let prompt = self.request.prompt.as_bytes();
        xxhash_rust::xxh3::xxh3_64(&prompt[..prompt.len().min(MAX_AFFINITY_PREFIX_BYTES)])
    }

    /// Returns a hash over all fields except `resume_text`.
    pub(crate) fn digest(&self) -> u64 {
        let bytes = serde_json::to_vec(&self.fields).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

fn invalid_body(error: &serde_json::Error) -> Error {
    let detail = format!("the body is not a completion request: {error}");
    Error::new(ErrorKind::BadRequest, detail)
}
