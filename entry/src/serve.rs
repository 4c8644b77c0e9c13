//! Serves one request: admission, attempts and the response to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use tokio::time::Instant;

use crate::Admission;
use crate::Call;
use crate::Config;
use crate::Customer;
use crate::EndpointClient;
use crate::EndpointResponse;
use crate::EventRelay;
use crate::Node;
use crate::QuotaUnit;
use crate::Refusal;
use crate::RefusalKind;
use crate::ResponseBody;
use crate::Route;
use crate::admitted_request::AdmittedRequest;
use crate::attempt::Attempts;
use crate::attempt::SentResponse;
use crate::forwarding::forward_wire::ForwardHead;
use crate::forwarding::reach_probe::confirm_reach;
use crate::log_limit;
use crate::placement::reservation::Reservation;
use crate::quota::owner as quota_owner;
use crate::shutdown::LateRequest;
use crate::shutdown::time_left_in_shutdown;
use crate::streams::relay::StreamHead;

/// Retry-After while no configuration or endpoint list is known.
pub(crate) const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Retry-After during shutdown; callers retry at another entry.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Response to a caller.
#[derive(Debug)]
pub enum CallerResponse<E: EndpointClient> {
    /// Complete response of an endpoint.
    Whole {
        /// HTTP status of the endpoint.
        status: u16,
        /// Headers to forward to the caller.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// Event stream of an endpoint.
    Stream {
        /// HTTP status of the endpoint.
        status: u16,
        /// Headers to forward to the caller.
        headers: HeaderMap,
        /// Relay that yields the events.
        events: Box<EventRelay<E>>,
    },
    /// Refusal by the entry itself.
    Refused(Refusal),
}

/// Admits a request, sends it to endpoints and returns the response.
///
/// Dropping the future or the stream of the response cancels the request at the endpoint.
pub async fn serve<E: EndpointClient>(
    node: &Arc<Node>,
    client: &Arc<E>,
    call: Call,
) -> CallerResponse<E> {
    let _in_flight = node.track_request();
    let call = Arc::new(call);
    let response = match admit_and_charge(node, &call).await {
        // Boxed, as the futures of callers would be large otherwise.
        Ok(admitted) => Box::pin(run(node, client, Attempts::new(admitted))).await,
        Err(refusal) => CallerResponse::Refused(refusal),
    };
    log_response(node, &call, &response);
    response
}

/// Sends a request that a peer forwards to endpoints and returns the response.
///
/// The peer has admitted and charged it, and counts it.
pub(crate) async fn serve_forwarded<E: EndpointClient>(
    node: &Arc<Node>,
    client: &Arc<E>,
    call: Call,
    head: ForwardHead,
) -> CallerResponse<E> {
    let _in_flight = node.track_request();
    let call = Arc::new(call);
    let response = match admit_forwarded(node, client, &call, &head).await {
        Ok(admitted) => {
            let attempts = Attempts::resume(admitted, &head.service, head.sends);
            Box::pin(run(node, client, attempts)).await
        }
        Err(refusal) => CallerResponse::Refused(refusal),
    };
    log_response(node, &call, &response);
    response
}

/// Admits a request and charges its customer's quota.
async fn admit_and_charge(node: &Arc<Node>, call: &Arc<Call>) -> Result<AdmittedRequest, Refusal> {
    let admitted = admit(node, call)?;
    let config = &admitted.config;
    if let Some(customer) = find_customer(config, &admitted.route, call)? {
        charge(node, customer, call).await?;
    }
    Ok(admitted)
}

/// Admits a request that a peer forwards, unless this entry is behind the peer's configuration or
/// does not reach endpoints either.
async fn admit_forwarded<E: EndpointClient>(
    node: &Arc<Node>,
    client: &Arc<E>,
    call: &Arc<Call>,
    head: &ForwardHead,
) -> Result<AdmittedRequest, Refusal> {
    if node.config_version() < head.config {
        return Err(Refusal::new(RefusalKind::NoConfig));
    }
    if !confirm_reach(node, client).await {
        return Err(Refusal::new(RefusalKind::NoEndpoint));
    }
    let admitted = admit(node, call)?;
    Ok(AdmittedRequest {
        is_forwarded: true,
        ..admitted
    })
}

/// Checks configuration, route, customer, shutdown, crash record and endpoint list, in this order.
fn admit(node: &Arc<Node>, call: &Arc<Call>) -> Result<AdmittedRequest, Refusal> {
    let Some(config) = node.config() else {
        return Err(Refusal::with_retry_after(
            RefusalKind::NoConfig,
            STARTUP_RETRY_AFTER,
        ));
    };
    let Some(route) = config.route(&call.host, call.path()).cloned() else {
        return Err(Refusal::new(RefusalKind::NoRoute));
    };
    let customer = find_customer(&config, &route, call)?;
    if !accepts_request(node, &route, call) {
        return Err(Refusal::with_retry_after(
            RefusalKind::Stopping,
            SHUTDOWN_RETRY_AFTER,
        ));
    }
    let fingerprint = call.fingerprint(customer.map(|c| &c.name));
    if let Some(suspicion) = node.crash_suspicion(fingerprint, call) {
        return Err(Refusal::with_retry_after(
            RefusalKind::Crashing,
            suspicion.retry_after(),
        ));
    }
    if !node.endpoints.lock().is_loaded() {
        return Err(Refusal::with_retry_after(
            RefusalKind::NoEndpoint,
            STARTUP_RETRY_AFTER,
        ));
    }
    let admitted = AdmittedRequest {
        call: Arc::clone(call),
        priority: customer.and_then(|c| c.priority).unwrap_or(route.priority),
        customer: customer.map(|c| c.name.clone()),
        fingerprint,
        deadline: call.received + call.timeout_on(&route),
        route,
        config: Arc::clone(&config),
        is_forwarded: false,
    };
    Ok(admitted)
}

/// Returns whether a request ends before the process stops, and logs the decision during shutdown.
fn accepts_request(node: &Node, route: &Route, call: &Call) -> bool {
    let Some(started) = node.shutdown_started() else {
        return true;
    };
    let request = LateRequest {
        since: started.elapsed(),
        expected: node.expected_duration(route, call),
        timeout: call.timeout_on(route),
        must_end: route.kind.is_stream() || !route.kind.is_retryable(),
    };
    let left = time_left_in_shutdown(node.settings.grace, request.since);
    let accepted = request.is_accepted(left);
    let outcome = if accepted { "accepted" } else { "refused" };
    node.metrics.record_shutdown(outcome);
    tracing::info!(
        event = "stopping_request",
        id = call.id,
        outcome,
        since_ms = crate::millis(request.since),
        left_ms = crate::millis(left),
        expected_ms = crate::millis(request.expected),
        timeout_ms = crate::millis(request.timeout),
        stream = route.kind.is_stream(),
    );
    accepted
}

pub(crate) fn find_customer<'a>(
    config: &'a Config,
    route: &Route,
    call: &Call,
) -> Result<Option<&'a Customer>, Refusal> {
    if route.anonymous || !config.requires_keys() {
        return Ok(None);
    }
    let customer = call.key.as_deref().and_then(|key| config.customer(key));
    match customer {
        Some(customer) => Ok(Some(customer)),
        None => Err(Refusal::new(RefusalKind::UnknownKey)),
    }
}

/// Returns the units that a request is charged to its customer's quota.
fn quota_units(call: &Call, unit: QuotaUnit) -> f64 {
    match unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens { default_tokens } => {
            let tokens = call.prompt.as_ref().map(crate::Prompt::max_tokens);
            tokens.unwrap_or(default_tokens) as f64
        }
    }
}

async fn charge(node: &Node, customer: &Customer, call: &Call) -> Result<(), Refusal> {
    let units = quota_units(call, customer.quota.unit);
    let admission = quota_owner::charge(node, customer, units).await;
    let left = node.quotas.lock().remaining(&customer.name);
    let Admission::OverQuota(wait) = admission else {
        return Ok(());
    };
    tracing::info!(
        event = "over_quota",
        id = call.id,
        customer = %customer.name,
        units,
        left,
        rate = customer.quota.rate,
        burst = customer.quota.burst,
        entries = node.entry_count(),
        wait_ms = crate::millis(wait),
    );
    Err(Refusal::with_retry_after(RefusalKind::OverQuota, wait))
}

async fn run<E: EndpointClient>(
    node: &Arc<Node>,
    client: &Arc<E>,
    mut attempts: Attempts,
) -> CallerResponse<E> {
    if !attempts.is_forwarded() {
        let mut retries = node.retries.lock();
        retries.record_request(attempts.service(), Instant::now());
    }
    let sent = tokio::select! {
        biased;
        () = node.ending.cancelled() => Err(attempts.shutdown_refusal(SHUTDOWN_RETRY_AFTER)),
        sent = attempts.run(node, client) => sent,
    };
    match sent {
        Ok((response, reservation)) => {
            build_response(node, client, attempts, response, reservation).await
        }
        Err(refusal) => {
            if !attempts.may_have_run && !attempts.is_forwarded() {
                refund_quota(node, &attempts.request);
            }
            CallerResponse::Refused(refusal)
        }
    }
}

fn refund_quota(node: &Node, request: &AdmittedRequest) {
    let Some(name) = &request.customer else {
        return;
    };
    let customer = request.config.customers.iter().find(|c| c.name == *name);
    if let Some(customer) = customer {
        let units = quota_units(&request.call, customer.quota.unit);
        node.quotas.lock().refund(name, units);
    }
}

async fn build_response<E: EndpointClient>(
    node: &Arc<Node>,
    client: &Arc<E>,
    attempts: Attempts,
    response: SentResponse<E>,
    reservation: Option<Reservation>,
) -> CallerResponse<E> {
    let counted = attempts.request.customer.clone();
    let counted = counted.filter(|_| !attempts.is_forwarded());
    let EndpointResponse {
        status,
        headers,
        body,
        states_end,
        closing,
        notice: _,
    } = response;
    if let Some(reservation) = &reservation
        && closing
    {
        tracing::debug!(event = "endpoint_closing", endpoint = %reservation.endpoint);
    }
    match body {
        ResponseBody::Whole(body) => {
            if let Some(reservation) = &reservation {
                attempts.record_response(node, reservation, status, states_end);
            }
            record_usage(node, counted.as_ref());
            CallerResponse::Whole {
                status,
                headers,
                body,
            }
        }
        ResponseBody::Stream(body) => {
            let mut events = EventRelay::new(
                Arc::clone(node),
                Arc::clone(client),
                attempts,
                StreamHead::new(status, &headers),
                (body, reservation),
            );
            let has_begun = tokio::select! {
                biased;
                () = node.ending.cancelled() => false,
                first = events.wait_for_first() => first.is_ok(),
            };
            if !has_begun {
                return CallerResponse::Refused(Refusal::new(RefusalKind::Broken));
            }
            record_usage(node, counted.as_ref());
            CallerResponse::Stream {
                status,
                headers,
                events: Box::new(events),
            }
        }
    }
}

fn record_usage(node: &Node, customer: Option<&crate::CustomerName>) {
    if let Some(customer) = customer {
        let window = node.usage_window();
        node.usage.lock().record(window, customer);
    }
}

fn log_response<E: EndpointClient>(node: &Node, call: &Call, response: &CallerResponse<E>) {
    let elapsed = call.received.elapsed();
    let (outcome, status, retry_after) = match response {
        CallerResponse::Whole { status, .. } => ("answered", *status, None),
        CallerResponse::Stream { status, .. } => ("streaming", *status, None),
        CallerResponse::Refused(refusal) => (
            refusal.kind.name(),
            refusal.kind.status(),
            refusal.retry_after,
        ),
    };
    node.metrics.record_request(outcome, elapsed);
    if status < 500 && !log_limit::allows(outcome) {
        return;
    }
    tracing::info!(
        event = "reply",
        id = call.id,
        path = call.target,
        outcome,
        status,
        took_ms = crate::millis(elapsed),
        retry_after_ms = retry_after.map(crate::millis),
    );
}
