//! HTTP transport of the calls to peers, over pooled connections that limit what a peer may send.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::http_helpers::HttpError;
use jsonrpsee::http_client::HttpBody;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::http_client::HttpRequest;
use jsonrpsee::http_client::RpcLogger;
use jsonrpsee::http_client::RpcService;
use jsonrpsee::http_client::transport::Error;
use tower::Service;
use tower::ServiceBuilder;
use tower::layer::layer_fn;

use crate::Connection;
use crate::ConnectionPool;
use crate::ExchangeError;
use crate::PoolSlot;
use crate::PooledBody;

/// Maximum number of idle connections kept per peer.
const MAX_IDLE_PER_PEER: usize = 4;

/// Idle timeout of connections to peers, which keep theirs open.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Client for the calls to one peer.
pub(crate) type PeerRpc = HttpClient<RpcLogger<RpcService<PeerTransport>>>;

type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response<Full<Bytes>>, Error>> + Send>>;

/// Creates a client for the calls to a peer, without connecting to it.
///
/// # Errors
///
/// Returns a [`ClientError`] if the address makes no URL.
pub(crate) fn connect_peer(
    pool: Arc<ConnectionPool>,
    peer: SocketAddr,
    timeout: Duration,
) -> Result<PeerRpc, ClientError> {
    // The backend that the library would use limits neither interim heads nor memory.
    let layer = layer_fn(move |_backend| PeerTransport {
        pool: Arc::clone(&pool),
        peer,
    });
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .set_http_middleware(ServiceBuilder::new().layer(layer))
        .build(format!("http://{peer}"))
}

/// Sends HTTP requests to one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerTransport {
    pool: Arc<ConnectionPool>,
    peer: SocketAddr,
}

impl Service<HttpRequest> for PeerTransport {
    type Response = Response<Full<Bytes>>;
    type Error = Error;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: HttpRequest) -> ResponseFuture {
        let transport = self.clone();
        Box::pin(async move { transport.send(request).await })
    }
}

impl PeerTransport {
    async fn send(self, request: HttpRequest<HttpBody>) -> Result<Response<Full<Bytes>>, Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(HttpError::Stream)?.to_bytes();
        let (response, connection) = self.exchange(&head.headers, body).await.map_err(failed)?;
        let status = response.status();
        let headers = response.headers().clone();
        let slot = PoolSlot {
            pool: self.pool,
            server: self.peer,
            max_idle: MAX_IDLE_PER_PEER,
        };
        let mut body =
            PooledBody::with_idle_timeout(response, connection, slot, Some(IDLE_TIMEOUT));
        let whole = body.read_whole().await.map_err(failed)?;
        let mut response = Response::new(Full::new(whole));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Sends a request on an idle connection, or on a new one if none is left or it was closed.
    async fn exchange(
        &self,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<(Response<Incoming>, Connection), ExchangeError> {
        if let Some(mut connection) = self.pool.take(self.peer, IDLE_TIMEOUT, "") {
            let sent = connection.exchange(self.build(headers, &body)).await;
            if !matches!(sent, Err(ExchangeError::NotWritten(_))) {
                return sent.map(|response| (response, connection));
            }
        }
        let mut connection = Connection::open(self.peer).await?;
        let response = connection.exchange(self.build(headers, &body)).await?;
        Ok((response, connection))
    }

    fn build(&self, headers: &HeaderMap, body: &Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::post("/")
            .body(Full::new(body.clone()))
            .expect("the path is valid");
        *request.headers_mut() = headers.clone();
        if let Ok(host) = HeaderValue::from_str(&self.peer.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        request
    }
}

fn failed(error: impl std::error::Error + Send + Sync + 'static) -> Error {
    Error::Http(HttpError::Stream(Box::new(error)))
}
