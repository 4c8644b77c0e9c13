//! A caller's request, decoded.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use tokio::time::Instant;

use crate::CustomerName;
use crate::Fingerprint;
use crate::PartId;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a request tells of its prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in the order in which they are read; the last belongs to the session.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub input: u32,
    /// Most tokens of the answer.
    pub output: u32,
    /// Caller's estimate of the answer's tokens.
    pub hint: Option<u32>,
}

impl Prompt {
    /// Returns the tokens that the request may occupy in memory.
    pub fn tokens(&self) -> u64 {
        u64::from(self.input) + u64::from(self.output)
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Caller's id of this attempt.
    pub id: String,
    /// Host, in lower case and without port.
    pub host: String,
    /// Path with its query, as sent.
    pub target: String,
    /// Method.
    pub method: Method,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Key of the customer.
    pub key: Option<String>,
    /// Time at which the request was read.
    pub received: Instant,
    /// Time that the caller waits, counted from `received`.
    pub patience: Option<Duration>,
    /// Prompt of a model request.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

impl Call {
    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }

    /// Returns what the request has in common with its repetitions.
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
