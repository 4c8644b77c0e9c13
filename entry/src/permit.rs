//! Asks one entry per endpoint for a permit before a request is sent to an endpoint that has stated
//! a rate limit.
//!
//! A limit holds for all entries together and may allow each of them far less than one request a
//! second, so that fixed shares would hardly be used. One live entry, the owner of the endpoint's
//! limit, therefore grants permits to all. Without a permit nothing is sent: an owner that is silent
//! or has just changed costs the use of that endpoint for a moment, never the limit.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EndpointProcess;
use crate::EntryName;
use crate::LimitReport;
use crate::Members;
use crate::Node;
use crate::Permit;
use crate::apply_limit_reports;
use crate::owner::OwnedKey;
use crate::owner::Owner;
use crate::owner::SILENT_PEER_PERIOD;
use crate::owner::choose_owner;
use crate::refresh_interval;

/// Time for which an endpoint is left alone while entries disagree on its owner.
const UNKNOWN_OWNER_WAIT: Duration = Duration::from_millis(300);

/// Minimum time in contact with peers, in addition to [`SETTLING_INTERVALS`] refresh intervals, after
/// which an entry owns limits; by then all entries know of it.
const BASE_SETTLING_TIME: Duration = Duration::from_secs(2);

/// Refresh intervals within which all entries usually know of a new one.
const SETTLING_INTERVALS: u32 = 2;

/// Request of an entry for a permit to send one request to an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// What the asking entry knows of the endpoint's limit.
    pub limit: LimitReport,
}

/// Decision of the owner of an endpoint's limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitReply {
    /// Time after which the next try is due, in milliseconds; `None` if the permit is granted.
    pub wait_ms: Option<u64>,
}

impl PermitReply {
    fn permit(self) -> Permit {
        self.wait_ms.map_or(Permit::Granted, |ms| {
            Permit::After(Duration::from_millis(ms))
        })
    }
}

/// Obtains a permit to send one request to an endpoint; one without a limit needs none.
///
/// `ask` asks the peer at an address and returns its reply, `None` if it fails.
pub async fn acquire_permit(
    node: &Node,
    endpoint: &EndpointId,
    incarnation: u64,
    ask: impl AsyncFnOnce(SocketAddr, PermitRequest) -> Option<PermitReply>,
) -> Permit {
    let now = Instant::now();
    let report = node.limits.lock().report_of(endpoint, incarnation, now);
    let Some(limit) = report else {
        return Permit::Granted;
    };
    let (outcome, permit) = match find_owner(node, endpoint, now) {
        None => ("unowned", Permit::After(UNKNOWN_OWNER_WAIT)),
        Some(Owner::Own) => decided(take_permit(node, &limit, now)),
        Some(Owner::Peer(owner, address)) => {
            let answer = ask(address, PermitRequest { limit });
            let permit = permit_of_peer(node, endpoint, &owner, answer).await;
            let unanswered = ("unanswered", Permit::After(SILENT_PEER_PERIOD));
            permit.map_or(unanswered, decided)
        }
    };
    node.metrics.record_limited(outcome);
    permit
}

/// Returns a peer's decision; `None` if it gives none, or did not answer lately.
async fn permit_of_peer(
    node: &Node,
    endpoint: &EndpointId,
    owner: &EntryName,
    answer: impl Future<Output = Option<PermitReply>>,
) -> Option<Permit> {
    if node.silent_owners.lock().contains(owner, Instant::now()) {
        return None;
    }
    let reply = node.answer_of(owner, answer).await;
    if reply.is_none() {
        tracing::info!(event = "limit_owner_silent", %endpoint, %owner);
    }
    reply.map(PermitReply::permit)
}

fn decided(permit: Permit) -> (&'static str, Permit) {
    match permit {
        Permit::Granted => ("permitted", permit),
        Permit::After(_) => ("turned_away", permit),
    }
}

/// Decides on a peer's request as the owner of the endpoint's limit.
pub fn decide_permit(node: &Node, request: &PermitRequest) -> PermitReply {
    let now = Instant::now();
    let limit = &request.limit;
    apply_limit_reports(node, std::slice::from_ref(limit), None);
    let permit = if find_owner(node, &limit.endpoint, now) == Some(Owner::Own) {
        take_permit(node, limit, now)
    } else {
        Permit::After(UNKNOWN_OWNER_WAIT)
    };
    PermitReply {
        wait_ms: match permit {
            Permit::Granted => None,
            Permit::After(wait) => Some(crate::millis(wait).saturating_add(1)),
        },
    }
}

/// Takes a permit as the owner of an endpoint's limit, at the newest limit that is known.
fn take_permit(node: &Node, report: &LimitReport, now: Instant) -> Permit {
    let (endpoint, incarnation) = (&report.endpoint, report.incarnation);
    let limit = node.limits.lock().limit_of(endpoint, incarnation);
    let Some(limit) = limit else {
        return Permit::Granted;
    };
    let rate = limit.per_second() * reachable_share(&node.members.lock(), now);
    let process = EndpointProcess::new(endpoint, incarnation);
    node.permits.lock().take(process, rate, now)
}

/// Returns the part of the known entries that are live.
///
/// Entries that are cut off from each other each choose an owner among those that they reach; the
/// limit is divided between them.
fn reachable_share(members: &Members, now: Instant) -> f64 {
    let live = members.live(now).count() + 1;
    let known = members.iter().count() + 1;
    live as f64 / known as f64
}

/// Returns the owner of an endpoint's limit, among the ready entries that have been in contact
/// for long enough; among all ready ones if there is none of them.
fn find_owner(node: &Node, endpoint: &EndpointId, now: Instant) -> Option<Owner> {
    let key = OwnedKey::new(endpoint.as_str());
    let settled = choose_among_ready(node, key, settling_time(node.entry_count()), now);
    settled.or_else(|| choose_among_ready(node, key, Duration::ZERO, now))
}

fn choose_among_ready(
    node: &Node,
    key: OwnedKey,
    min_contact: Duration,
    now: Instant,
) -> Option<Owner> {
    let is_candidate = node.is_ready() && node.contact.lock().duration(now) >= min_contact;
    let own = is_candidate.then_some(&node.settings.name);
    let members = node.members.lock();
    let ready = members.live(now).filter(|p| p.state.ready);
    let peers = ready.filter(|p| p.time_in_contact(now) >= min_contact);
    let peers =
        peers.map(|p| -> (&EntryName, SocketAddr) { (&p.state.name, p.state.peer_address) });
    choose_owner(key, own, peers)
}

fn settling_time(entries: usize) -> Duration {
    BASE_SETTLING_TIME + refresh_interval(entries) * SETTLING_INTERVALS
}
