//! Wire types of model engines and plain services, as endpoints see them.
//!
//! Completions: `POST /v1/completions` with a [`CompletionRequest`]. Every call carries
//! [`ATTEMPT_HEADER`], and the endpoint must return it unchanged. With `stream` the answer is a
//! sequence of server-sent events: `id:` is the number of tokens so far, `data:` a
//! [`CompletionChunk`], and the last `data:` is `[DONE]`. An engine goes on generating for a
//! while after a connection breaks: `GET /v1/streams/{id}?from=N` picks the stream up after
//! token N, `DELETE /v1/streams/{id}` cancels it.
//!
//! An engine answers 429 or 503 only to what it has not run.
//!
//! Cache: `POST /v1/kv/export` with a [`KvExport`] answers a [`KvHandle`];
//! `POST /v1/kv/import` with a [`KvImport`] answers a [`KvStream`] on the importing engine.
//!
//! Control: `GET /load` answers a lagging [`LoadReport`]; `POST /orders` with an [`Order`]
//! answers 200, or 409 when the engine checks epochs and has seen a newer one;
//! `GET /orders` answers the order in force.
//!
//! Plain services get the caller's method, path and body. Those that honour idempotency keys
//! read the `Idempotency-Key` header; those that can look one up answer
//! `GET /keys/{key}` with the stored answer or status 404.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Epoch;
use crate::Timestamp;
use crate::VersionName;

/// Header that carries the attempt's identifier to the endpoint and back.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header that names the engine's stream in the answer to a completion.
pub const STREAM_HEADER: &str = "x-stream-id";

/// Header that carries the request's priority: `interactive` or `deferred`.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header by which a plain endpoint may mark a failure as the caller's doing.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Data of the last event of a stream.
pub const DONE: &str = "[DONE]";

/// A request of the completions protocol.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// Model, as the caller names it.
    #[serde(default)]
    pub model: String,
    /// Prompt; a continued generation appends the text so far.
    pub prompt: String,
    /// Tokens to generate at most.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether to answer with a stream of events.
    #[serde(default)]
    pub stream: bool,
}

/// Tokens generated when the caller names no number.
const DEFAULT_TOKENS: u32 = 16;

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

/// One event of a stream, and the whole answer without `stream`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionChunk {
    /// Identifier of the answer.
    pub id: String,
    /// Model that answers.
    pub model: String,
    /// Always one choice.
    pub choices: Vec<Choice>,
    /// Token counts, in the last chunk and in whole answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Text of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Index, always zero.
    pub index: u32,
    /// Text of this event, or of the whole answer.
    pub text: String,
    /// Why generation ended: `stop` or `length`.
    pub finish_reason: Option<String>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Asks an engine to export a stream's cache; the engine stops generating for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvExport {
    /// Stream.
    pub stream: String,
}

/// An exported cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvHandle {
    /// Name under which the importing engine fetches it.
    pub handle: String,
    /// Tokens in the cache.
    pub tokens: u32,
    /// Size in bytes.
    pub bytes: u64,
}

/// Asks an engine to import a cache from another and go on generating.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvImport {
    /// Engine that exported the cache.
    pub source: SocketAddr,
    /// Name of the cache there.
    pub handle: String,
}

/// A stream on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvStream {
    /// Stream.
    pub stream: String,
}

/// Load of an endpoint, as of a while ago.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Cache memory in use, in thousandths.
    pub cache_used: u32,
    /// Time of the reading.
    pub at: Timestamp,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves requests.
    #[default]
    Serve,
    /// Keeps its model loaded and gets no requests.
    Standby,
}

/// States what an endpoint is to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Epoch of the lease under which the order is given.
    pub epoch: Epoch,
    /// Version to run.
    pub version: VersionName,
    /// Model to load.
    pub model: String,
    /// Role to take.
    pub role: Role,
}
