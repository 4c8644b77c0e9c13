//! The operations port: health, readiness and metrics.

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
use crate::ReplyBody;
use crate::Result;
use crate::ServerLimits;
use crate::full_body;
use crate::metrics::Metrics;
use crate::problem::problem;
use crate::serve;

/// Connections open at once on the port.
const CONNECTIONS: usize = 64;

/// Media type of Prometheus text.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// What the operations port shows of a process.
pub(crate) trait Observed: Send + Sync + 'static {
    /// Returns the instruments.
    fn metrics(&self) -> &Metrics;

    /// Tells why the process does not serve, if it does not.
    ///
    /// # Errors
    ///
    /// Fails with the reason.
    fn check_ready(&self) -> Result<()>;
}

/// Serves the port until the process ends.
pub(crate) fn serve_ops<T>(kernel: &Kernel, listener: TcpListener, observed: Arc<T>)
where
    T: Observed,
{
    let limits = ServerLimits {
        connections: CONNECTIONS,
        ..ServerLimits::default()
    };
    let stopped = kernel.stopped.clone();
    kernel.spawn(serve(listener, limits, stopped, move |request, _peer| {
        let response = answer(&*observed, &request);
        async move { response }
    }));
}

fn answer<T>(observed: &T, request: &Request<Incoming>) -> Response<ReplyBody>
where
    T: Observed,
{
    match request.uri().path() {
        "/healthz" => text("ok\n"),
        "/metrics" => metrics(observed),
        "/readyz" => match observed.check_ready() {
            Ok(()) => text("ready\n"),
            Err(error) => unready(&error),
        },
        _ => problem(&Error::new(ErrorKind::NotFound, "no such page")),
    }
}

fn text(text: &'static str) -> Response<ReplyBody> {
    Response::new(full_body(text))
}

fn unready(error: &Error) -> Response<ReplyBody> {
    let mut response = problem(error);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn metrics<T>(observed: &T) -> Response<ReplyBody>
where
    T: Observed,
{
    let mut response = Response::new(full_body(observed.metrics().text()));
    let kind = HeaderValue::from_static(METRICS_TYPE);
    response.headers_mut().insert("content-type", kind);
    response
}
