//! HTTP port for health, readiness and metrics.

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use tokio::net::TcpListener;

use crate::Error;
use crate::ErrorKind;
use crate::Kernel;
use crate::ResponseBody;
use crate::Result;
use crate::ServerLimits;
use crate::full_body;
use crate::metrics::Metrics;
use crate::problem::problem_response;
use crate::serve;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;

/// Media type of the Prometheus text format.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Source of the metrics and the readiness that the port exposes.
pub(crate) trait OpsSource: Send + Sync + 'static {
    /// Returns the metrics of the process.
    fn metrics(&self) -> &Metrics;

    /// Checks whether the process is ready to serve.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not ready.
    fn check_ready(&self) -> Result<()>;
}

/// Serves the port in a background task of `kernel`.
pub(crate) fn serve_ops<T>(kernel: &Kernel, listener: TcpListener, source: Arc<T>)
where
    T: OpsSource,
{
    let limits = ServerLimits {
        connections: MAX_CONNECTIONS,
        ..ServerLimits::default()
    };
    let stopped = kernel.stopped.clone();
    kernel.spawn(serve(listener, limits, stopped, move |request, _peer| {
        let response = respond(&*source, &request);
        async move { response }
    }));
}

fn respond<T>(source: &T, request: &Request<Incoming>) -> Response<ResponseBody>
where
    T: OpsSource,
{
    match request.uri().path() {
        "/healthz" => text_response("ok\n"),
        "/metrics" => metrics_response(source),
        "/readyz" => match source.check_ready() {
            Ok(()) => text_response("ready\n"),
            Err(error) => not_ready_response(&error),
        },
        _ => problem_response(&Error::new(ErrorKind::NotFound, "no such page")),
    }
}

fn text_response(body: &'static str) -> Response<ResponseBody> {
    Response::new(full_body(body))
}

fn not_ready_response(error: &Error) -> Response<ResponseBody> {
    let mut response = problem_response(error);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn metrics_response<T>(source: &T) -> Response<ResponseBody>
where
    T: OpsSource,
{
    let mut response = Response::new(full_body(source.metrics().text()));
    let media_type = HeaderValue::from_static(METRICS_MEDIA_TYPE);
    response.headers_mut().insert("content-type", media_type);
    response
}
