//! Serves the requests that peers forward.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use tokio::net::TcpListener;

use crate::CallerBody;
use crate::CallerConnections;
use crate::CallerResponse;
use crate::EndpointClient;
use crate::Limits;
use crate::Node;
use crate::Refusal;
use crate::RefusalKind;
use crate::callers::request_body::NO_MEMORY_RETRY_AFTER;
use crate::forwarding::forward_wire;
use crate::forwarding::forward_wire::InvalidForward;
use crate::serve::serve_forwarded;
use crate::serve_connections;

/// Maximum size of the head of a forwarded request, in bytes; it holds the prompt's parts twice.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Serves the requests that peers forward to an address, until the shutdown ends.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn serve_forwards<E: EndpointClient>(
    node: Arc<Node>,
    client: Arc<E>,
    address: SocketAddr,
    connections: &CallerConnections,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let limits = || Limits {
        header_bytes: MAX_HEAD_BYTES,
        ..Limits::default()
    };
    let budget = Arc::clone(&node.request_budgets.forwards);
    let respond = move |request| respond(Arc::clone(&node), Arc::clone(&client), request);
    let serving = serve_connections(listener, connections.clone(), budget, limits, respond);
    connections.tasks.spawn(serving);
    Ok(())
}

async fn respond<E: EndpointClient>(
    node: Arc<Node>,
    client: Arc<E>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let max_body = node
        .config()
        .map(|c| c.limits)
        .unwrap_or_default()
        .body_bytes;
    let response = match forward_wire::decode_request(request, max_body).await {
        Ok((head, call)) => serve_forwarded(&node, &client, call, head).await,
        // The previous build does not know `RefusalKind::NoMemory`.
        Err(InvalidForward::NoMemory) => {
            let kind = RefusalKind::Overloaded;
            CallerResponse::Refused(Refusal::with_retry_after(kind, NO_MEMORY_RETRY_AFTER))
        }
        Err(error) => {
            tracing::warn!(event = "forward_unreadable", %error);
            CallerResponse::Refused(Refusal::new(RefusalKind::BadRequest))
        }
    };
    let mut response = forward_wire::encode_response(response);
    if node.should_close(false) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
