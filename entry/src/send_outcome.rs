//! Outcomes of sends: logs, metrics, and what they say of the endpoint and of the request.

use tokio::time::Instant;

use crate::Call;
use crate::EndpointId;
use crate::EndpointNotice;
use crate::EndpointResponse;
use crate::Interruption;
use crate::Node;
use crate::SendFailure;
use crate::admitted_request::AdmittedRequest;
use crate::forwarding::reach_probe::apply_reach_change;
use crate::placement::reservation::Reservation;

/// Logs a failed send and records it in the endpoint's load and in the evidence of crashes.
pub(crate) fn record_send_failure(
    node: &Node,
    request: &AdmittedRequest,
    sends: u32,
    reservation: &Reservation,
    failure: &SendFailure,
) {
    let now = Instant::now();
    let cause = match failure {
        SendFailure::MayHaveRun(interruption) => Some(interruption.name()),
        SendFailure::NotWritten(_) | SendFailure::Rejected { .. } => None,
    };
    tracing::info!(
        event = "send_failed",
        id = request.call.id,
        endpoint = %reservation.endpoint,
        sends,
        after_ms = crate::millis(now.duration_since(reservation.started)),
        %failure,
        cause,
        parts = request.call.prompt.as_ref().map(crate::Prompt::part_list),
    );
    match failure {
        SendFailure::Rejected {
            misdirected: true, ..
        } => reservation.mark_draining(),
        SendFailure::Rejected { .. } => reservation.record_rejected(),
        SendFailure::NotWritten(_) => reservation.record_unavailable_in_load(now),
        // The links of an entry that is cut off are the cause, not the endpoint or the request.
        SendFailure::MayHaveRun(_) if !node.reaches_endpoints() => {
            reservation.record_unavailable_in_load(now);
        }
        SendFailure::MayHaveRun(interruption) => {
            reservation.record_interrupted(now);
            if matches!(interruption, Interruption::ConnectionBroken(_)) {
                record_crash(node, request, reservation, now);
            }
        }
    }
}

/// Records that the endpoint seems to have crashed under the request, unless it was leaving or its
/// version was rolled back.
fn record_crash(node: &Node, request: &AdmittedRequest, reservation: &Reservation, now: Instant) {
    if !reservation.is_endpoint_serving(now) || reservation.is_rolled_back() {
        return;
    }
    let mut crashes = node.crashes.lock();
    let incarnation = reservation.incarnation;
    crashes.record_crash(request.fingerprint, &reservation.endpoint, incarnation, now);
    drop(crashes);
    record_part_crashes(node, &request.call, reservation, now);
}

/// Records a crash of the endpoint under each part of the request that others may hold too.
fn record_part_crashes(node: &Node, call: &Call, reservation: &Reservation, now: Instant) {
    let process = reservation.process();
    let mut tracker = node.part_crashes.lock();
    let mut is_urgent = false;
    for part in call.shared_parts() {
        is_urgent |= tracker.record_crash(part, process, now);
    }
    drop(tracker);
    if is_urgent {
        node.gossip_now.notify_one();
    }
    node.announce_crashing_parts(None);
}

/// Returns what an endpoint that responded said of its availability.
pub(crate) fn notice_of<B>(
    sent: &Result<EndpointResponse<B>, SendFailure>,
) -> Option<EndpointNotice> {
    match sent {
        Ok(response) => Some(response.notice),
        // Another endpoint speaks for itself only.
        Err(SendFailure::Rejected {
            misdirected: false,
            notice,
            ..
        }) => Some(*notice),
        Err(_) => None,
    }
}

/// Returns the name of a send's outcome in metrics.
pub(crate) fn outcome_name<B>(response: &Result<EndpointResponse<B>, SendFailure>) -> &'static str {
    match response {
        Ok(response) if response.status < 500 => "answered",
        Ok(_) => "failed",
        Err(SendFailure::NotWritten(_)) => "not_written",
        Err(SendFailure::Rejected { .. }) => "rejected",
        Err(SendFailure::MayHaveRun(_)) => "may_have_run",
    }
}

/// Records what the outcome of a send says of the contact with endpoints.
pub(crate) fn record_reach<B>(
    node: &Node,
    endpoint: &EndpointId,
    sent: &Result<EndpointResponse<B>, SendFailure>,
) {
    let now = Instant::now();
    let mut reach = node.reach.lock();
    let change = match sent {
        Ok(_)
        | Err(
            SendFailure::Rejected { .. }
            | SendFailure::MayHaveRun(Interruption::InvalidResponse(_)),
        ) => reach.record_contact(now),
        Err(SendFailure::NotWritten(_)) => reach.record_unconnected(endpoint, now),
        Err(SendFailure::MayHaveRun(_)) => None,
    };
    drop(reach);
    apply_reach_change(node, change);
}
