//! Calls to the platform over pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use tokio::time::Instant;

use crate::Connection;
use crate::ConnectionPool;
use crate::ExchangeError;
use crate::Interruption;
use crate::MAX_IDLE_PER_SERVER;
use crate::PoolSlot;
use crate::PooledBody;
use crate::ReadProgress;
use crate::client_idle_timeout;

/// Connection on which a call is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// An idle one, or a new one if there is none.
    Pooled,
    /// A new one.
    New,
}

/// How a call is made.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Connection on which it is sent.
    pub connection: ConnectionChoice,
    /// Time within which the response must be there.
    pub timeout: Duration,
    /// Number of bytes of the response's body that are needed, if not all.
    pub needed: Option<usize>,
    /// Notes when parts of the response are received.
    pub progress: ReadProgress,
}

impl CallOptions {
    /// Returns options of a call that needs the whole response, on any connection.
    pub fn new(timeout: Duration) -> Self {
        Self {
            connection: ConnectionChoice::Pooled,
            timeout,
            needed: None,
            progress: ReadProgress::default(),
        }
    }
}

/// Sends a request over a pool's connections and reads the response, or the part of it that is needed.
///
/// # Errors
///
/// Returns an [`ExchangeError`] that tells whether the request may have been written.
pub async fn call_pooled(
    pool: &Arc<ConnectionPool>,
    server: SocketAddr,
    request: Request<Full<Bytes>>,
    options: &CallOptions,
) -> Result<Response<Bytes>, ExchangeError> {
    let deadline = Instant::now() + options.timeout;
    let connected = tokio::time::timeout_at(deadline, connect(pool, server, options)).await;
    let connection = connected.unwrap_or_else(|_elapsed| {
        let reason = "connection not established in time".to_owned();
        Err(ExchangeError::NotWritten(reason))
    })?;
    let exchange = exchange(pool, server, connection, request, options);
    let result = tokio::time::timeout_at(deadline, exchange).await;
    let result = result.unwrap_or_else(|_elapsed| {
        let timed_out = Interruption::TimedOut("time-out".to_owned());
        Err(ExchangeError::MaybeWritten(timed_out))
    });
    if matches!(result, Err(ExchangeError::MaybeWritten(_))) {
        // Idle connections may lead nowhere, too. A request that was not written says nothing of them.
        pool.clear(server);
    }
    result
}

async fn connect(
    pool: &ConnectionPool,
    server: SocketAddr,
    options: &CallOptions,
) -> Result<Connection, ExchangeError> {
    let pooled = match options.connection {
        ConnectionChoice::Pooled => pool.take(server, client_idle_timeout(None), ""),
        ConnectionChoice::New => None,
    };
    match pooled {
        Some(connection) => Ok(connection),
        None => Connection::open_patiently(server).await,
    }
}

async fn exchange(
    pool: &Arc<ConnectionPool>,
    server: SocketAddr,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    options: &CallOptions,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = connection.exchange(request).await?;
    options.progress.record();
    let (head, body) = response.into_parts();
    let response = Response::from_parts(head.clone(), body);
    let slot = PoolSlot {
        pool: Arc::clone(pool),
        server,
        max_idle: MAX_IDLE_PER_SERVER,
    };
    let idle_timeout = Some(client_idle_timeout(None));
    let mut body = PooledBody::with_idle_timeout(response, connection, slot, idle_timeout);
    let needed = options.needed.unwrap_or(usize::MAX);
    let body = body.read_at_least(needed, &options.progress).await;
    let body = body.map_err(ExchangeError::MaybeWritten)?;
    Ok(Response::from_parts(head, body))
}
