//! A caller's decoded request.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::CustomerName;
use crate::Fingerprint;
use crate::PartId;
use crate::Route;

/// A part of a prompt that several requests may have in common, which allows cache reuse.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Id; equal ids mean equal content.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt sizes that a request states.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prompt {
    /// Parts in prompt order; the last belongs to the session.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    pub input: u32,
    /// Maximum length of the output, in tokens.
    pub max_output: u32,
    /// Caller's estimate of the output length, in tokens.
    pub hint: Option<u32>,
}

impl Prompt {
    /// Returns the parts that other prompts may hold too: all but the last.
    pub(crate) fn shared_parts(&self) -> Vec<PartId> {
        let count = self.parts.len().saturating_sub(1);
        self.parts.iter().take(count).map(|p| p.id).collect()
    }

    /// Returns the ids of all parts as text, for logs.
    pub(crate) fn part_list(&self) -> String {
        let ids: Vec<String> = self.parts.iter().map(|p| p.id.to_string()).collect();
        ids.join(",")
    }

    /// Returns the maximum number of tokens that the request occupies in the KV cache.
    pub fn max_tokens(&self) -> u64 {
        u64::from(self.input) + u64::from(self.max_output)
    }
}

/// A request as received from a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the caller gave this attempt.
    pub id: String,
    /// Host, in lower case and without port.
    pub host: String,
    /// Path with its query, as sent.
    pub target: String,
    /// HTTP method.
    pub method: Method,
    /// Headers to forward to the endpoint.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// API key, if the caller sent one.
    pub key: Option<String>,
    /// Time at which the request was read.
    pub received: Instant,
    /// Time that the caller waits for the response, counted from `received`.
    pub timeout: Option<Duration>,
    /// Prompt sizes of a model request.
    pub prompt: Option<Prompt>,
    /// Id of the last event of this stream that the caller has received.
    pub last_event: Option<u64>,
}

impl Call {
    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }

    /// Returns the parts of the prompt that other requests may hold too.
    pub(crate) fn shared_parts(&self) -> Vec<PartId> {
        self.prompt
            .as_ref()
            .map(Prompt::shared_parts)
            .unwrap_or_default()
    }

    /// Returns how long the caller waits for the response on a route.
    pub(crate) fn timeout_on(&self, route: &Route) -> Duration {
        self.timeout.unwrap_or(route.timeout).min(route.timeout)
    }

    /// Returns a hash of host, target, customer and body, which is the same for every retry.
    pub fn fingerprint(&self, customer: Option<&CustomerName>) -> Fingerprint {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for text in [&self.host, &self.target] {
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(customer.map_or("", |c| c.as_str()).as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.body);
        Fingerprint(hasher.digest())
    }
}
