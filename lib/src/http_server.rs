//! HTTP server on `hyper` with connection limits and graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 512;

/// Ratio of the read buffer to the limit of the header section, so that a request slightly above
/// the limit is still parsed and gets a response with a body.
const HEADER_BUFFER_FACTOR: usize = 4;

/// Smallest read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum time for receiving a request's header section.
    pub header_timeout: Duration,
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Maximum time for which a graceful shutdown waits for requests in progress.
    pub drain: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            header_timeout: Duration::from_secs(10),
            header_bytes: 32 * 1024,
            drain: Duration::from_secs(30),
        }
    }
}

/// Returns a response body with the content `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|infallible| match infallible {})
        .boxed()
}

/// Serves requests on `listener` until `stop` is cancelled, then drains.
///
/// Returns when every connection has ended or the drain limit has passed. Requests in
/// progress are finished; idle connections are closed at once.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let permits = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let permit = tokio::select! {
            () = stop.cancelled() => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
        let Ok(permit) = permit else { break };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                serve_connection(stream, peer, permit, limits, &graceful, &handler);
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    let _ = tokio::time::timeout(limits.drain, graceful.shutdown()).await;
}

fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
    limits: ServerLimits,
    graceful: &GracefulShutdown,
    handler: &Arc<H>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let handler = Arc::clone(handler);
    let service = service_fn(move |request| {
        let response = handler(request, peer);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size((limits.header_bytes * HEADER_BUFFER_FACTOR).max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Some(limits.header_timeout))
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            tracing::debug!(%error, %peer, "HTTP server connection failed");
        }
        drop(permit);
    });
}
