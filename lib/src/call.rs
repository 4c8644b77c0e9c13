//! Caller requests, with their bodies read and their customer, service and route resolved.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::CustomerName;
use crate::Error;
use crate::ErrorKind;
use crate::LimitSettings;
use crate::PRIORITY_HEADER;
use crate::Priority;
use crate::RequestId;
use crate::Result;
use crate::Route;
use crate::RoutingTable;
use crate::Service;
use crate::ServiceName;
use crate::token_hash;

/// Time within which a response must be complete when no declared route matches the path.
const DEFAULT_ROUTE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// A caller's request with the customer, service and route that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    /// Customer that the bearer token belongs to.
    pub(crate) customer: CustomerName,
    /// Declared service that the request is for.
    pub(crate) service: Service,
    /// Route that matches the path, or the default route.
    pub(crate) route: Route,
    pub(crate) method: Method,
    /// Path and query below the service, without a leading slash.
    pub(crate) path: String,
    /// Headers as received.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Time by which the response must be complete.
    pub(crate) deadline: Instant,
    /// Hash of the prompt prefix, for prefix-affinity routing; absent for plain services.
    pub(crate) affinity_key: Option<u64>,
}

impl Call {
    /// Returns whether the call may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeatable || self.method == Method::GET || self.method == Method::HEAD
    }

    /// Returns the priority of the route, which a caller may lower to deferred by a header.
    pub(crate) fn priority(&self) -> Priority {
        let requested = self.headers.get(PRIORITY_HEADER);
        if requested.is_some_and(|v| v.as_bytes() == b"deferred") {
            return Priority::Deferred;
        }
        self.route.priority
    }

    /// Returns a hash over the customer, service, method, path and body.
    pub(crate) fn digest(&self) -> u64 {
        let head = format!(
            "{}\n{}\n{}\n{}\n",
            self.customer, self.service.name, self.method, self.path
        );
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(head.as_bytes());
        hasher.update(&self.body);
        hasher.digest()
    }

    /// Returns the idempotency key from the request headers.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] when the key is empty, too long or contains
    /// characters other than visible ASCII.
    pub(crate) fn idempotency_key(&self) -> Result<Option<&str>> {
        let Some(value) = self.headers.get(crate::IDEMPOTENCY_KEY_HEADER) else {
            return Ok(None);
        };
        match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => Ok(Some(key)),
            _ => Err(Error::new(
                ErrorKind::BadRequest,
                "the Idempotency-Key must be 1 to 256 visible characters",
            )),
        }
    }
}

/// Returns the customer whose bearer token the headers carry.
///
/// # Errors
///
/// Fails with [`ErrorKind::Unauthorized`] when the token is missing or unknown.
pub(crate) fn authenticate(table: &RoutingTable, headers: &HeaderMap) -> Result<CustomerName> {
    let token = headers
        .get("authorization")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "a bearer token is required"))?;
    let hash = token_hash(token);
    table
        .customer(&hash)
        .map(|c| c.name.clone())
        .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "the bearer token is not known"))
}

/// Authenticates a caller's request, resolves its service and route, and reads its body.
///
/// # Errors
///
/// Fails with [`ErrorKind::Unauthorized`], [`ErrorKind::UnknownService`],
/// [`ErrorKind::ReceiveTimeout`], [`ErrorKind::BodyTooLarge`] or [`ErrorKind::BadRequest`].
/// Nothing has been sent to an endpoint then.
pub(crate) async fn receive(
    table: &RoutingTable,
    limits: LimitSettings,
    request: Request<Incoming>,
) -> Result<Call> {
    let started = Instant::now();
    let customer = authenticate(table, request.headers())?;
    let (service, path) = resolve_service(table, &request)?;
    let route = match_route(&service, &path);
    let (parts, body) = request.into_parts();
    let body = read_body(body, limits).await?;
    Ok(Call {
        id: RequestId::random(),
        customer,
        deadline: started + route.timeout,
        service,
        route,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        affinity_key: None,
    })
}

/// Resolves the service named by the first path segment; returns it with the rest of the path.
fn resolve_service(table: &RoutingTable, request: &Request<Incoming>) -> Result<(Service, String)> {
    let uri = request.uri();
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let path = path.strip_prefix('/').unwrap_or(path);
    let split = path.find(['/', '?']).unwrap_or(path.len());
    let (name, rest) = path.split_at(split);
    let unknown = || Error::new(ErrorKind::UnknownService, "no service has this name");
    let name = ServiceName::new(name).map_err(|_err| unknown())?;
    let service = table.config.services.get(&name).ok_or_else(unknown)?;
    let rest = rest.strip_prefix('/').unwrap_or(rest);
    Ok((service.value.clone(), rest.to_owned()))
}

/// Returns the route with the longest matching prefix, or the default route.
pub(crate) fn match_route(service: &Service, path: &str) -> Route {
    service
        .routes
        .iter()
        .filter(|r| path.starts_with(&r.prefix))
        .max_by_key(|r| r.prefix.len())
        .cloned()
        .unwrap_or_else(|| Route {
            prefix: String::new(),
            repeatable: service.kind == crate::ServiceKind::Model,
            priority: crate::Priority::Interactive,
            timeout: DEFAULT_ROUTE_TIMEOUT,
        })
}

async fn read_body(body: Incoming, limits: LimitSettings) -> Result<Bytes> {
    let limited = Limited::new(body, limits.body);
    let collected = tokio::time::timeout(limits.receive, limited.collect())
        .await
        .map_err(|_elapsed| Error::new(ErrorKind::ReceiveTimeout, "the body came too slowly"))?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Error::new(
            ErrorKind::BodyTooLarge,
            format!("the body may have at most {} bytes", limits.body),
        )),
        Err(_) => Err(Error::new(ErrorKind::BadRequest, "the body is truncated")),
    }
}
