//! Wire types of the HTTP interfaces of model engines and plain services.
//!
//! Completions: `POST /v1/completions` with a [`CompletionRequest`]. Every request
//! carries [`ATTEMPT_ID_HEADER`], and the endpoint must return it unchanged. With `stream` the
//! response is a sequence of server-sent events: `id:` is the number of tokens so far, `data:` a
//! [`CompletionChunk`], and the last `data:` is [`STREAM_END_DATA`]. An engine continues to
//! generate for a grace period after a connection breaks: `GET /v1/streams/{id}?from=N` resumes the
//! stream after token N, `DELETE /v1/streams/{id}` cancels it.
//!
//! An engine responds with 429 or 503 only to requests that it has not run.
//!
//! Cache: `POST /v1/kv/export` with a [`KvExport`] returns a [`KvHandle`];
//! `POST /v1/kv/import` with a [`KvImport`] returns a [`KvStream`] on the importing engine.
//!
//! Control: `GET /load` returns a [`LoadReport`], which may be out of date; `POST /orders` with an
//! [`Order`] returns 200, or 409 when the engine checks epochs and has seen a newer one;
//! `GET /orders` returns the order in force.
//!
//! Plain services receive the caller's method, path and body. Those that honour idempotency keys
//! read the `Idempotency-Key` header; those that can look one up respond to
//! `GET /keys/{key}` with the stored response or status 404.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Epoch;
use crate::Timestamp;
use crate::VersionName;

/// Header that carries the attempt ID to the endpoint and back.
pub const ATTEMPT_ID_HEADER: &str = "x-attempt-id";

/// Response header that carries the engine's ID of the stream.
pub const STREAM_ID_HEADER: &str = "x-stream-id";

/// Header that carries the request's priority: `interactive` or `deferred`.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header that carries the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// `data` value of the event that ends a stream.
pub const STREAM_END_DATA: &str = "[DONE]";

/// Body of a completion request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// Model name given by the caller; empty if absent.
    #[serde(default)]
    pub model: String,
    /// Prompt; when a generation continues on another engine, the text so far is appended.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Value of `max_tokens` when the request has none.
const DEFAULT_MAX_TOKENS: u32 = 16;

fn default_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Data of one event of a stream, or the whole response body without `stream`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionChunk {
    /// Response ID, the same in all chunks of a response.
    pub id: String,
    /// Model that generates the response.
    pub model: String,
    /// Generated texts; always exactly one.
    pub choices: Vec<Choice>,
    /// Token counts; present in the last chunk and in responses without `stream`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A generated text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Position among the choices; always zero.
    pub index: u32,
    /// Text of this event, or of the whole response.
    pub text: String,
    /// Reason why generation ended, `stop` or `length`; absent before the end.
    pub finish_reason: Option<String>,
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the KV cache.
    pub cached_tokens: u32,
    /// Number of tokens generated.
    pub completion_tokens: u32,
}

/// Request to export a stream's KV cache, after which the engine stops generating the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvExport {
    /// Stream ID on the exporting engine.
    pub stream: String,
}

/// An exported KV cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvHandle {
    /// Identifier by which the importing engine fetches the cache.
    pub handle: String,
    /// Number of tokens in the cache.
    pub tokens: u32,
    /// Size of the cache, in bytes.
    pub bytes: u64,
}

/// Request to import a KV cache from another engine and to continue generating.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvImport {
    /// Address of the engine that exported the cache.
    pub source: SocketAddr,
    /// Identifier of the cache on that engine.
    pub handle: String,
}

/// A stream that continues from an imported KV cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvStream {
    /// Stream ID on the importing engine.
    pub stream: String,
}

/// Load of an endpoint at some earlier time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of requests running.
    pub running: u32,
    /// Number of requests queued.
    pub waiting: u32,
    /// Share of the KV cache in use, in thousandths.
    pub cache_used: u32,
    /// Time at which the load was measured.
    pub at: Timestamp,
}

/// Role that an engine is ordered to take.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves requests.
    #[default]
    Serve,
    /// Keeps its model loaded but receives no requests.
    Standby,
}

/// Order that sets the version, model and role of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Epoch of the lease under which the order was issued.
    pub epoch: Epoch,
    /// Version that the endpoint is to run.
    pub version: VersionName,
    /// Model that the engine is to load.
    pub model: String,
    /// Role that the engine is to take.
    pub role: Role,
}
