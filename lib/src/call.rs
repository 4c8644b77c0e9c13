//! A caller's request, read whole and checked.

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

/// Rule for paths that no declared route matches.
const DEFAULT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Identity.
    pub(crate) id: RequestId,
    /// Customer whose token came with the request.
    pub(crate) customer: CustomerName,
    /// Service called.
    pub(crate) service: Service,
    /// Rule that applies.
    pub(crate) route: Route,
    /// Method.
    pub(crate) method: Method,
    /// Path and query below the service, without a leading slash.
    pub(crate) path: String,
    /// Headers as received.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Time at which the answer must be complete.
    pub(crate) deadline: Instant,
    /// Hash of the beginning of the prompt.
    pub(crate) affinity: Option<u64>,
}

impl Call {
    /// Tells whether the call may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeatable || self.method == Method::GET || self.method == Method::HEAD
    }

    /// Returns the call's urgency; a caller may lower that of the route.
    pub(crate) fn priority(&self) -> Priority {
        let asked = self.headers.get(PRIORITY_HEADER);
        if asked.is_some_and(|v| v.as_bytes() == b"deferred") {
            return Priority::Deferred;
        }
        self.route.priority
    }

    /// Returns a digest of the request and its customer.
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

    /// Returns the caller's idempotency key.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] when the key is empty, too long or not text.
    pub(crate) fn key(&self) -> Result<Option<&str>> {
        let Some(value) = self.headers.get(crate::IDEMPOTENCY_HEADER) else {
            return Ok(None);
        };
        match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key)),
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
/// Fails with [`ErrorKind::Unauthorized`] when there is none or it is unknown.
pub(crate) fn customer(table: &RoutingTable, headers: &HeaderMap) -> Result<CustomerName> {
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

/// Reads a caller's request whole and checks it against the table.
///
/// # Errors
///
/// Fails with the kind that tells what is wrong; nothing has been sent to an endpoint.
pub(crate) async fn receive(
    table: &RoutingTable,
    limits: LimitSettings,
    request: Request<Incoming>,
) -> Result<Call> {
    let started = Instant::now();
    let customer = customer(table, request.headers())?;
    let (service, path) = target(table, &request)?;
    let route = route_of(&service, &path);
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
        affinity: None,
    })
}

fn target(table: &RoutingTable, request: &Request<Incoming>) -> Result<(Service, String)> {
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

pub(crate) fn route_of(service: &Service, path: &str) -> Route {
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
            timeout: DEFAULT_TIMEOUT,
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
