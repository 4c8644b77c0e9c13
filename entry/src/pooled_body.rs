//! Body of a response on a pooled connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;

use crate::ChunkStream;
use crate::Connection;
use crate::ConnectionPool;
use crate::Interruption;
use crate::MAX_RESPONSE_BYTES;
use crate::SendFailure;
use crate::idle_timeout_of;
use crate::interruption_of;

/// Where a connection is kept after its response.
#[derive(Clone, Debug)]
pub struct PoolSlot {
    /// Pool of the connection.
    pub pool: Arc<ConnectionPool>,
    /// Server that the connection leads to.
    pub server: SocketAddr,
    /// Maximum number of idle connections to the server.
    pub max_idle: usize,
}

/// Body of a response that a server is still sending; its connection returns to the pool after a
/// complete body.
#[derive(Debug)]
pub struct PooledBody {
    body: Incoming,
    states_end: bool,
    /// Connection and its idle timeout, for the return to the pool; `None` if it closes.
    connection: Option<(Connection, Duration)>,
    slot: PoolSlot,
}

impl PooledBody {
    /// Creates the body of a response that was received on a connection.
    pub fn new(response: Response<Incoming>, connection: Connection, slot: PoolSlot) -> Self {
        let idle_timeout = idle_timeout_of(response.headers());
        Self {
            states_end: states_end(&response),
            body: response.into_body(),
            connection: idle_timeout.map(|idle_timeout| (connection, idle_timeout)),
            slot,
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Returns a [`SendFailure`] if the body breaks off or exceeds [`MAX_RESPONSE_BYTES`].
    pub async fn read_whole(&mut self) -> Result<Bytes, SendFailure> {
        let mut whole = BytesMut::new();
        loop {
            match self.next().await {
                Ok(None) => return Ok(whole.freeze()),
                Ok(Some(chunk)) => whole.extend_from_slice(&chunk),
                Err(interruption) => return Err(SendFailure::MayHaveRun(interruption)),
            }
            if whole.len() > MAX_RESPONSE_BYTES {
                let reason = "the response is too large".to_owned();
                return Err(SendFailure::MayHaveRun(Interruption::InvalidResponse(
                    reason,
                )));
            }
        }
    }
}

impl ChunkStream for PooledBody {
    async fn next(&mut self) -> Result<Option<Bytes>, Interruption> {
        loop {
            match self.body.frame().await {
                None => {
                    if let Some((connection, idle_timeout)) = self.connection.take() {
                        let PoolSlot {
                            pool,
                            server,
                            max_idle,
                        } = &self.slot;
                        pool.put_back(*server, connection, idle_timeout, *max_idle);
                    }
                    return Ok(None);
                }
                Some(Err(error)) => return Err(interruption_of(&error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn states_end(&self) -> bool {
        self.states_end
    }
}

/// Returns whether the framing of a response states the end of its body.
fn states_end(response: &Response<Incoming>) -> bool {
    let has_length = response.body().size_hint().exact().is_some();
    has_length || response.headers().contains_key(TRANSFER_ENCODING)
}
