//! Serves one request: admission, the attempts, and the answer that the caller gets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use tokio::time::Instant;

use crate::Admission;
use crate::Answer;
use crate::AnswerBody;
use crate::Call;
use crate::Config;
use crate::Customer;
use crate::EndpointEdge;
use crate::EventRelay;
use crate::Node;
use crate::QuotaUnit;
use crate::Refusal;
use crate::RefusalKind;
use crate::Route;
use crate::attempt::Admitted;
use crate::attempt::Attempts;
use crate::log_limit;
use crate::place::Place;

/// Time after which callers may come back while no configuration is known.
const RETRY_AFTER_START: Duration = Duration::from_millis(700);

/// Time after which a crashing request may come back.
const RETRY_AFTER_CRASH: Duration = Duration::from_mins(1);

/// Time after which callers may come back, at another entry, while the process stops.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(50);

/// Time after the start of a shutdown until which new streams are taken.
const LAST_STREAMS: Duration = Duration::from_millis(3200);

/// Time before the end of a shutdown from which no more calls are taken.
const LAST_CALLS: Duration = Duration::from_secs(2);

/// Answer to a caller.
#[derive(Debug)]
pub enum Reply<E: EndpointEdge> {
    /// An endpoint's whole answer.
    Whole {
        /// Status.
        status: u16,
        /// Headers that are passed on.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// An endpoint's stream of events.
    Stream {
        /// Status.
        status: u16,
        /// Headers that are passed on.
        headers: HeaderMap,
        /// Events.
        events: Box<EventRelay<E>>,
    },
    /// An answer of the system's own.
    Refused(Refusal),
}

/// Serves a request.
///
/// Dropping the future or the stream of the reply cancels the run at the endpoint.
pub async fn serve<E: EndpointEdge>(node: &Arc<Node>, edge: &Arc<E>, call: Call) -> Reply<E> {
    let _in_flight = node.track();
    let call = Arc::new(call);
    let reply = match admit(node, &call) {
        Ok(admitted) => run(node, edge, admitted).await,
        Err(refusal) => Reply::Refused(refusal),
    };
    log_reply(node, &call, &reply);
    reply
}

/// Decides whether a request is taken.
fn admit(node: &Arc<Node>, call: &Arc<Call>) -> Result<Admitted, Refusal> {
    let Some(config) = node.config() else {
        return Err(Refusal::after(RefusalKind::NoConfig, RETRY_AFTER_START));
    };
    let Some(route) = config.route(&call.host, call.path()).cloned() else {
        return Err(Refusal::new(RefusalKind::NoRoute));
    };
    let customer = find_customer(&config, &route, call)?;
    if !takes_requests(node, &route) {
        return Err(Refusal::after(RefusalKind::Stopping, RETRY_AFTER_STOP));
    }
    let fingerprint = call.fingerprint(customer.map(|c| &c.name));
    if node.crashes.lock().is_crashing(fingerprint) {
        return Err(Refusal::after(RefusalKind::Crashing, RETRY_AFTER_CRASH));
    }
    if !node.endpoints.lock().is_loaded() {
        return Err(Refusal::after(RefusalKind::NoEndpoint, RETRY_AFTER_START));
    }
    let now = Instant::now();
    if let Some(customer) = customer {
        charge(node, customer, call, now)?;
    }
    let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
    let admitted = Admitted {
        call: Arc::clone(call),
        priority: customer.and_then(|c| c.priority).unwrap_or(route.priority),
        customer: customer.map(|c| c.name.clone()),
        fingerprint,
        deadline: call.received + patience,
        route,
        config: Arc::clone(&config),
    };
    Ok(admitted)
}

/// Tells whether a process that stops can still finish a request of a route.
fn takes_requests(node: &Node, route: &Route) -> bool {
    let Some(since) = node.stopping_since() else {
        return true;
    };
    let limit = if route.kind.is_stream() {
        LAST_STREAMS
    } else {
        node.settings.grace.saturating_sub(LAST_CALLS)
    };
    since.elapsed() < limit
}

fn find_customer<'a>(
    config: &'a Config,
    route: &Route,
    call: &Call,
) -> Result<Option<&'a Customer>, Refusal> {
    if route.anonymous || !config.wants_keys() {
        return Ok(None);
    }
    let customer = call.key.as_deref().and_then(|key| config.customer(key));
    match customer {
        Some(customer) => Ok(Some(customer)),
        None => Err(Refusal::new(RefusalKind::UnknownKey)),
    }
}

/// Returns the units that a request takes from its customer's quota.
fn units(call: &Call, unit: QuotaUnit) -> f64 {
    match unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens { plain } => {
            let tokens = call.prompt.as_ref().map(crate::Prompt::tokens);
            tokens.unwrap_or(plain) as f64
        }
    }
}

fn charge(node: &Node, customer: &Customer, call: &Call, now: Instant) -> Result<(), Refusal> {
    let units = units(call, customer.quota.unit);
    let mut quotas = node.quotas.lock();
    let admission = quotas.admit(&customer.name, customer.quota, units, now);
    let left = quotas.left(&customer.name);
    drop(quotas);
    let Admission::Over(wait) = admission else {
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
    Err(Refusal::after(RefusalKind::OverQuota, wait))
}

async fn run<E: EndpointEdge>(node: &Arc<Node>, edge: &Arc<E>, admitted: Admitted) -> Reply<E> {
    let mut attempts = Attempts::new(admitted);
    let service = attempts.service().clone();
    node.retries.lock().note_request(&service, Instant::now());
    match attempts.run(node, &**edge).await {
        Ok((answer, place)) => reply(node, edge, attempts, answer, place).await,
        Err(refusal) => {
            if !attempts.may_have_run {
                give_back(node, &attempts.request);
            }
            Reply::Refused(refusal)
        }
    }
}

fn give_back(node: &Node, request: &Admitted) {
    let Some(name) = &request.customer else {
        return;
    };
    let customer = request.config.customers.iter().find(|c| c.name == *name);
    if let Some(customer) = customer {
        let units = units(&request.call, customer.quota.unit);
        node.quotas.lock().give_back(name, units);
    }
}

async fn reply<E: EndpointEdge>(
    node: &Arc<Node>,
    edge: &Arc<E>,
    attempts: Attempts,
    answer: Answer<E::Body>,
    place: Place,
) -> Reply<E> {
    let customer = attempts.request.customer.clone();
    let Answer {
        status,
        headers,
        body,
        closing,
    } = answer;
    if closing {
        tracing::debug!(event = "endpoint_closing", endpoint = %place.endpoint);
    }
    match body {
        AnswerBody::Whole(body) => {
            if status < 500 {
                place.note_success(Instant::now());
            } else {
                place.note_bad_answer();
            }
            note_usage(node, customer.as_ref());
            Reply::Whole {
                status,
                headers,
                body,
            }
        }
        AnswerBody::Stream(body) => {
            let mut events =
                EventRelay::new(Arc::clone(node), Arc::clone(edge), attempts, body, place);
            match events.wait_for_first().await {
                Ok(()) => {
                    note_usage(node, customer.as_ref());
                    Reply::Stream {
                        status,
                        headers,
                        events: Box::new(events),
                    }
                }
                Err(_broke_off) => Reply::Refused(Refusal::new(RefusalKind::Broken)),
            }
        }
    }
}

fn note_usage(node: &Node, customer: Option<&crate::CustomerName>) {
    if let Some(customer) = customer {
        let window = node.usage_window();
        node.usage.lock().note(window, customer);
    }
}

fn log_reply<E: EndpointEdge>(node: &Node, call: &Call, reply: &Reply<E>) {
    let took = call.received.elapsed();
    let (outcome, status, retry_after) = match reply {
        Reply::Whole { status, .. } => ("answered", *status, None),
        Reply::Stream { status, .. } => ("streaming", *status, None),
        Reply::Refused(refusal) => (
            refusal.kind.name(),
            refusal.kind.status(),
            refusal.retry_after,
        ),
    };
    node.metrics.note_request(outcome, took);
    if status < 500 && !log_limit::allows(outcome) {
        return;
    }
    tracing::info!(
        event = "reply",
        id = call.id,
        path = call.target,
        outcome,
        status,
        took_ms = crate::millis(took),
        retry_after_ms = retry_after.map(crate::millis),
    );
}
