//! Asks one entry per endpoint for a permit before a request is sent to an endpoint that has stated
//! a rate limit.
//!
//! A limit holds for all entries together and may allow each of them far less than one request a
//! second, so that fixed shares would hardly be used. One live entry, the owner of the endpoint's
//! limit, therefore grants permits to all. Without a permit nothing is sent: an owner that is silent
//! or has just changed costs the use of that endpoint for a moment, never the limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ColdLimit;
use crate::EndpointId;
use crate::EndpointProcess;
use crate::EntryName;
use crate::LimitKind;
use crate::LimitReport;
use crate::Members;
use crate::Node;
use crate::Permit;
use crate::apply_limit_reports;
use crate::limits::brittle::CountedRun;
use crate::peers::owner::OwnedKey;
use crate::peers::owner::Owner;
use crate::peers::owner::SILENT_PEER_PERIOD;
use crate::peers::owner::choose_owner;
use crate::refresh_interval;

/// Time for which an endpoint is left alone while entries disagree on its owner.
const UNKNOWN_OWNER_WAIT: Duration = Duration::from_millis(300);

/// Minimum time between two reports of ended requests.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);

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
    /// The same for a limit of another kind.
    #[serde(default)]
    pub other_limits: Vec<LimitReport>,
    /// Number of requests that the endpoint processes concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Time after which the request has ended, in milliseconds.
    #[serde(default)]
    pub time_left_ms: u64,
    /// Limit of the endpoint while it is cold, so that an owner that does not know it yet keeps to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdLimit>,
}

/// End of a request at a brittle endpoint, for the owner of the endpoint's limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendEnd {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Start of the endpoint's incarnation, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether the endpoint rejected the request for want of room.
    pub is_rejected: bool,
}

/// Decision of the owner of an endpoint's limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitReply {
    /// Time after which the next try is due, in milliseconds; `None` if the permit is granted.
    pub wait_ms: Option<u64>,
    /// Whether the limit of a cold endpoint was checked, which owners of the previous build do not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cold_checked: bool,
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
    time_left: Duration,
    ask: impl AsyncFnOnce(SocketAddr, PermitRequest) -> Option<PermitReply>,
) -> Permit {
    let now = Instant::now();
    let reports = node.limits.lock().reports_of(endpoint, incarnation, now);
    let mut reports = reports.into_iter();
    let (slots, cold) = {
        let endpoints = node.endpoints.lock();
        let known = endpoints.by_id(endpoint);
        let cold = known.and_then(|e| endpoints.cold_limit(e, now));
        (known.map(|e| e.record.slots), cold)
    };
    let limit = reports.next();
    if limit.is_none() && cold.is_none() {
        return Permit::Granted;
    }
    let request = PermitRequest {
        limit: limit.unwrap_or_else(|| LimitReport::unknown(endpoint, incarnation)),
        other_limits: reports.collect(),
        slots: slots.unwrap_or_default(),
        time_left_ms: crate::millis(time_left),
        cold,
    };
    let (outcome, permit) = match find_owner(node, endpoint, now) {
        None => ("unowned", Permit::After(UNKNOWN_OWNER_WAIT)),
        Some(Owner::Own) => decided(take_permits(node, &request, now)),
        Some(Owner::Peer(owner, address)) => {
            let answer = ask(address, request);
            let is_cold = cold.is_some();
            let permit = permit_of_peer(node, endpoint, &owner, is_cold, answer).await;
            let unanswered = ("unanswered", Permit::After(SILENT_PEER_PERIOD));
            permit.map_or(unanswered, decided)
        }
    };
    node.metrics.record_limited(outcome);
    permit
}

/// Returns a peer's decision; `None` if it gives none, did not answer lately, or did not check the limit of
/// a cold endpoint.
async fn permit_of_peer(
    node: &Node,
    endpoint: &EndpointId,
    owner: &EntryName,
    is_cold: bool,
    answer: impl Future<Output = Option<PermitReply>>,
) -> Option<Permit> {
    if node.silent_owners.lock().contains(owner, Instant::now()) {
        return None;
    }
    let reply = node.answer_of(owner, answer).await;
    // An owner that does not know the limits of cold endpoints decides on nothing.
    let reply = reply.filter(|reply| !is_cold || reply.is_cold_checked);
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
    let endpoint = &request.limit.endpoint;
    apply_limit_reports(node, std::slice::from_ref(&request.limit), None);
    apply_limit_reports(node, &request.other_limits, None);
    let permit = if find_owner(node, endpoint, now) == Some(Owner::Own) {
        take_permits(node, request, now)
    } else {
        Permit::After(UNKNOWN_OWNER_WAIT)
    };
    PermitReply {
        wait_ms: match permit {
            Permit::Granted => None,
            Permit::After(wait) => Some(crate::millis(wait).saturating_add(1)),
        },
        is_cold_checked: request.cold.is_some(),
    }
}

/// Takes a permit as the owner of an endpoint's limits, at the newest ones that are known.
fn take_permits(node: &Node, request: &PermitRequest, now: Instant) -> Permit {
    let (endpoint, incarnation) = (&request.limit.endpoint, request.limit.incarnation);
    let process = EndpointProcess::new(endpoint, incarnation);
    let share = reachable_share(&node.members.lock(), now);
    if let Some(cold) = cold_limit(node, request, now) {
        let rate = cold.rate.per_second() * share;
        let permit = node.permits.lock().take_cold(process, rate, now);
        if permit != Permit::Granted {
            return permit;
        }
    }
    let limits = node.limits.lock();
    let limit = |kind| limits.limit_of(kind, endpoint, incarnation);
    let (rejections, requests) = (limit(LimitKind::Rejections), limit(LimitKind::Requests));
    drop(limits);
    if let Some(limit) = rejections {
        let run = CountedRun {
            max_rejections: limit.per_second() * share,
            slots: request.slots,
            ends_at: now + Duration::from_millis(request.time_left_ms),
        };
        let permit = node.brittle.lock().take(process, run, now);
        if permit != Permit::Granted {
            return permit;
        }
    }
    requests.map_or(Permit::Granted, |limit| {
        let rate = limit.per_second() * share;
        node.permits.lock().take(process, rate, now)
    })
}

/// Returns the limit of an endpoint that is cold, as far as the asking entry or this one knows; the lower
/// one if their configurations differ.
fn cold_limit(node: &Node, request: &PermitRequest, now: Instant) -> Option<ColdLimit> {
    let (endpoint, incarnation) = (&request.limit.endpoint, request.limit.incarnation);
    let mut endpoints = node.endpoints.lock();
    if let Some(asked) = request.cold {
        let known = endpoints.by_id_mut(endpoint);
        if let Some(known) = known.filter(|e| e.record.incarnation == incarnation) {
            known.extend_warm_up(Duration::from_millis(asked.left_ms), now);
        }
    }
    let known = endpoints.by_id(endpoint);
    let known = known.filter(|e| e.record.incarnation == incarnation);
    let own = known.and_then(|e| endpoints.cold_limit(e, now));
    let limits = request.cold.into_iter().chain(own);
    limits.min_by(|a, b| a.rate.per_second().total_cmp(&b.rate.per_second()))
}

/// Applies the ends of requests as the owner of the endpoints' limits.
pub fn apply_ends(node: &Node, ends: &[SendEnd]) {
    let mut ledger = node.brittle.lock();
    for end in ends {
        let process = EndpointProcess::new(&end.endpoint, end.incarnation);
        ledger.record_end(process, end.is_rejected, Instant::now());
    }
}

impl Node {
    /// Queues the end of a request for the owner of the endpoint's limit.
    pub fn report_end(&self, end: SendEnd) {
        self.unreported_ends.lock().push(end);
        self.end_added.notify_one();
    }
}

/// Takes the ends of requests that are to be reported, by the address of the peer that owns the
/// endpoint's limit; applies those that this entry owns.
pub fn take_ends(node: &Node, now: Instant) -> IndexMap<SocketAddr, Vec<SendEnd>> {
    let ends = std::mem::take(&mut *node.unreported_ends.lock());
    let mut by_owner: IndexMap<SocketAddr, Vec<SendEnd>> = IndexMap::new();
    for end in ends {
        match find_owner(node, &end.endpoint, now) {
            Some(Owner::Own) => apply_ends(node, &[end]),
            Some(Owner::Peer(_, address)) => by_owner.entry(address).or_default().push(end),
            None => {}
        }
    }
    by_owner
}

/// Reports the ends of requests to the owners of the endpoints' limits until the process ends.
pub async fn report_ends(node: &Arc<Node>) {
    loop {
        node.end_added.notified().await;
        for (address, ends) in take_ends(node, Instant::now()) {
            let node = Arc::clone(node);
            tokio::spawn(async move { node.peers.report_ends(address, ends).await });
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
    }
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
