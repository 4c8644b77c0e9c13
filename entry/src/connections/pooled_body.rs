//! Body of a response on a pooled connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;

use crate::ChunkStream;
use crate::Connection;
use crate::ConnectionPool;
use crate::Interruption;
use crate::LeasedBuffer;
use crate::MAX_RESPONSE_BYTES;
use crate::ReadProgress;
use crate::connections::read_meter::ReadMeter;
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
    meter: ReadMeter,
    states_end: bool,
    /// Connection and its idle timeout, for the return to the pool; `None` if it closes.
    connection: Option<(Connection, Duration)>,
    slot: PoolSlot,
}

impl PooledBody {
    /// Creates the body of a response that was received on a connection.
    pub fn new(response: Response<Incoming>, connection: Connection, slot: PoolSlot) -> Self {
        let idle_timeout = idle_timeout_of(response.headers());
        Self::with_idle_timeout(response, connection, slot, idle_timeout)
    }

    /// Creates such a body whose connection may be idle for `idle_timeout` afterwards, or closes if that
    /// is `None`.
    pub fn with_idle_timeout(
        response: Response<Incoming>,
        connection: Connection,
        slot: PoolSlot,
        idle_timeout: Option<Duration>,
    ) -> Self {
        Self {
            meter: connection.meter(),
            states_end: states_end(&response),
            body: response.into_body(),
            connection: idle_timeout.map(|idle_timeout| (connection, idle_timeout)),
            slot,
        }
    }

    /// Reads the complete body, which occupies the pool's budget until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an [`Interruption`] if the body breaks off, or exceeds [`MAX_RESPONSE_BYTES`] or what is
    /// left of the budget.
    pub async fn read_whole(&mut self) -> Result<Bytes, Interruption> {
        self.read_at_least(usize::MAX, &ReadProgress::default())
            .await
    }

    /// Reads the body until at least `length` bytes are there or it ends, and returns them; the connection
    /// closes if more follows.
    ///
    /// # Errors
    ///
    /// Returns an [`Interruption`] like [`PooledBody::read_whole`].
    pub async fn read_at_least(
        &mut self,
        length: usize,
        progress: &ReadProgress,
    ) -> Result<Bytes, Interruption> {
        let mut whole = LeasedBuffer::new(Arc::clone(&self.slot.pool.buffers));
        while let Some(chunk) = self.next().await? {
            progress.record();
            whole
                .extend(&chunk)
                .map_err(|error| Interruption::InvalidResponse(error.to_string()))?;
            if whole.len() > MAX_RESPONSE_BYTES {
                let reason = "the response is too large".to_owned();
                return Err(Interruption::InvalidResponse(reason));
            }
            if whole.len() >= length {
                break;
            }
        }
        Ok(whole.freeze())
    }

    /// Reads a body of at most `max_bytes` to its end and drops it, so that the connection can be reused.
    ///
    /// # Errors
    ///
    /// Returns an [`Interruption`] if the body breaks off or is longer.
    pub async fn discard(mut self, max_bytes: usize) -> Result<(), Interruption> {
        let mut length = 0;
        while let Some(chunk) = self.next().await? {
            length += chunk.len();
            if length > max_bytes {
                let reason = "the response is too large".to_owned();
                return Err(Interruption::InvalidResponse(reason));
            }
        }
        Ok(())
    }
}

impl ChunkStream for PooledBody {
    async fn next(&mut self) -> Result<Option<Bytes>, Interruption> {
        loop {
            match self.body.frame().await {
                None => {
                    self.meter.end_exchange();
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
                        self.meter.reset();
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
