//! HTTP/1 server for callers' connections, which closes them in order during graceful shutdown.

use std::convert::Infallible;
use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::CallerBudget;
use crate::CallerConnection;
use crate::CallerConnections;
use crate::CallerResponse;
use crate::EndpointClient;
use crate::EventRelay;
use crate::Limits;
use crate::Refusal;
use crate::StreamBroken;
use crate::callers::caller_io::CallerIo;

/// Delay before the next attempt after the listener failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which an evicted connection that does not close by itself is checked for a request that has
/// arrived meanwhile; without one it is cut.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(500);

type EventStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, StreamBroken>> + Send>>;

/// Body of a response to a caller.
pub type CallerBody = Either<Full<Bytes>, StreamBody<EventStream>>;

/// Accepts connections until [`CallerConnections::wait_for_stop`] has ended and none waits, and
/// serves their requests with `respond`.
///
/// `limits` returns the limits of a new connection. Connections, heads and bodies occupy `budget`; a request
/// has its connection as an extension, see [`crate::RequestBody::split`].
pub async fn serve_connections<F, R, B>(
    listener: TcpListener,
    connections: CallerConnections,
    budget: Arc<CallerBudget>,
    limits: impl Fn() -> Limits,
    respond: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + Unpin + 'static,
{
    let stop = connections.wait_for_stop();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut stop => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // A connection without room is closed by the drop of its stream.
                let Some(connection) = budget.open() else {
                    continue;
                };
                let io = CallerIo { stream, connection };
                let serving = serve_connection(io, limits(), connections.clone(), respond.clone());
                connections.tasks.spawn(serving);
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F, R, B>(
    io: CallerIo,
    limits: Limits,
    connections: CallerConnections,
    respond: F,
) where
    F: Fn(Request<Incoming>) -> R + Send + Sync,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + Unpin + 'static,
{
    let caller = Arc::clone(&io.connection);
    if let Err(error) = io.stream.set_nodelay(true) {
        tracing::debug!(event = "socket_option_refused", %error);
    }
    let has_request = AtomicBool::new(false);
    let is_http10 = AtomicBool::new(false);
    let service = service_fn(|mut request: Request<Incoming>| {
        let caller = Arc::clone(&caller);
        caller.begin_request(!request.body().is_end_stream());
        request.extensions_mut().insert(Arc::clone(&caller));
        let in_request = InRequest(caller);
        has_request.store(true, Ordering::Relaxed);
        is_http10.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        let response = respond(request);
        async move {
            let mut response = response.await;
            if in_request.0.has_unread_body() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| RequestEnd {
                body,
                _in_request: in_request,
            }))
        }
    });
    let mut connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_read_timeout())
        .max_buf_size(limits.read_buffer_bytes())
        .serve_connection(TokioIo::new(io), service);
    let ended = async {
        tokio::select! {
            biased;
            result = &mut connection => result,
            () = connections.wait_for_close(&has_request) => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
            () = caller.wait_for_eviction() => {
                Pin::new(&mut connection).graceful_shutdown();
                loop {
                    match tokio::time::timeout(EVICTION_TIMEOUT, &mut connection).await {
                        Ok(result) => break result,
                        Err(_) if caller.in_request() => {}
                        Err(_) => break Ok(()),
                    }
                }
            }
        }
    };
    tokio::select! {
        biased;
        result = ended => match result {
            Ok(()) => {
                if caller.has_unread_body() {
                    connection.into_parts().io.into_inner().linger().await;
                }
                return;
            }
            Err(error) => tracing::debug!(event = "caller_connection_ended", %error),
        },
        () = connections.cut.cancelled() => {}
    }
    if is_http10.load(Ordering::Relaxed) {
        reset(&connection.into_parts().io.into_inner().stream);
    }
}

/// Records the end of a request when it is dropped.
struct InRequest(Arc<CallerConnection>);

impl Drop for InRequest {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Body of a response, which ends its request when it is dropped.
struct RequestEnd<B> {
    body: B,
    _in_request: InRequest,
}

impl<B: Body + Unpin> Body for RequestEnd<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Makes a connection end with a reset when it is dropped.
///
/// HTTP/1.0 has no chunks, so a broken stream that ended with an orderly close would look complete.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        tracing::warn!(event = "socket_option_refused", %error);
    }
}

/// Builds the HTTP response of an endpoint's response.
///
/// # Errors
///
/// Returns the refusal if the entry itself refused the request.
pub fn build_http_response<E: EndpointClient>(
    response: CallerResponse<E>,
) -> Result<Response<CallerBody>, Refusal> {
    let (status, headers, body) = match response {
        CallerResponse::Whole {
            status,
            headers,
            body,
        } => (status, headers, Either::Left(Full::new(body))),
        CallerResponse::Stream {
            status,
            headers,
            events,
        } => {
            let frames = StreamBody::new(event_frames(events));
            (status, headers, Either::Right(frames))
        }
        CallerResponse::Refused(refusal) => return Err(refusal),
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    *response.headers_mut() = headers;
    Ok(response)
}

fn event_frames<E: EndpointClient>(events: Box<EventRelay<E>>) -> EventStream {
    let frames = futures_util::stream::unfold(Some(events), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    Box::pin(frames)
}
