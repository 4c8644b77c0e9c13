//! Reads the body of a request into one buffer within a budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::Refusal;
use crate::RefusalKind;
use crate::callers::caller_budget::CallerConnection;

/// Retry-After of a refusal because no memory is left for the body.
pub(crate) const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// the body is larger than the limit
    TooLarge,
    /// no memory is left for the body
    NoMemory,
    /// the body cannot be read
    Unreadable,
}

impl BodyError {
    fn refusal(self) -> Refusal {
        match self {
            Self::TooLarge => Refusal::new(RefusalKind::BodyTooLarge),
            Self::NoMemory => {
                Refusal::with_retry_after(RefusalKind::NoMemory, NO_MEMORY_RETRY_AFTER)
            }
            Self::Unreadable => Refusal::new(RefusalKind::BadRequest),
        }
    }
}

/// Body of a request that is not read yet.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    connection: Option<Arc<CallerConnection>>,
}

/// Drops what has arrived of a body unless it is complete.
struct Arriving(Arc<CallerConnection>);

impl Drop for Arriving {
    fn drop(&mut self) {
        if self.0.has_unread_body() {
            self.0.abandon_body();
        }
    }
}

impl RequestBody {
    /// Splits a request that [`crate::serve_connections`] has received.
    pub fn split(request: Request<Incoming>) -> (hyper::http::request::Parts, Self) {
        let (mut head, body) = request.into_parts();
        let connection = head.extensions.remove::<Arc<CallerConnection>>();
        (head, Self { body, connection })
    }

    /// Reads the body of a caller's request, which must arrive within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body cannot be read.
    pub async fn read_within(self, max: usize, timeout: Duration) -> Result<Bytes, Refusal> {
        let body = tokio::time::timeout(timeout, self.read(max)).await;
        body.unwrap_or(Err(BodyError::Unreadable))
            .map_err(BodyError::refusal)
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if it is larger than `max`, or broken, or if memory is short and this body has
    /// made no progress for longest.
    pub async fn read(self, max: usize) -> Result<Bytes, BodyError> {
        let Self {
            mut body,
            connection,
        } = self;
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        // Only requests that did not come through `serve_connections` lack a connection.
        let connection = connection.ok_or(BodyError::Unreadable)?;
        let size = body.size_hint();
        if size.lower() > max as u64 {
            connection.record("body_too_large");
            return Err(BodyError::TooLarge);
        }
        let length = size.exact().map_or(max, |length| length as usize);
        let arriving = Arriving(Arc::clone(&connection));
        connection.begin_body();
        let mut arrived = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = connection.wait_for_eviction() => None,
                frame = body.frame() => Some(frame),
            };
            let Some(frame) = frame else {
                connection.record("body_evicted");
                return Err(BodyError::NoMemory);
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_broken| BodyError::Unreadable)?;
            let Some(part) = frame.data_ref() else {
                continue;
            };
            arrived += part.len();
            if arrived > max {
                connection.record("body_too_large");
                return Err(BodyError::TooLarge);
            }
            if connection.extend_body(part, length).is_err() {
                connection.record("body_refused");
                return Err(BodyError::NoMemory);
            }
        }
        let complete = connection.complete_body();
        drop(arriving);
        complete.map_err(|_full| BodyError::NoMemory)
    }
}
