//! Asks one entry per customer whether a request is within the customer's quota.
//!
//! In a large system the totals of peers arrive seconds late by gossip, so that a customer whose
//! load jumps would use several times its quota before the entries notice. One live entry, the
//! customer's owner, therefore decides for all. Owner, standby and third are ranked by rendezvous
//! hashing, so that entries agree on them without coordination. Entries that know different members
//! may ask different owners; each owner learns of the others' decisions by gossip.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::Admission;
use crate::Customer;
use crate::CustomerName;
use crate::EntryName;
use crate::Members;
use crate::Node;
use crate::QuotaContact;
use crate::QuotaRoute;
use crate::QuotaStep;
use crate::QuotaTotals;
use crate::log_limit;
use crate::quota::bucket::MAX_LOCAL_REFRESH;
use crate::refresh_interval;

/// Time within which a higher-ranked entry must have answered a request that is passed on to it. The
/// entry that asks waits 60 ms in total, and two entries may be tried in that time.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(25);

/// Request of an entry to charge a customer's quota.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuotaRequest {
    /// Entry that asks.
    pub entry: EntryName,
    /// Start of the entry's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Customer whose quota is charged.
    pub customer: CustomerName,
    /// What the entry has charged so far.
    pub totals: QuotaTotals,
    /// Units to charge.
    pub units: f64,
    /// Whether the entry that asks passes the request on for `entry`; it is then decided at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub passed_on: bool,
}

/// Decision of a customer's owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaDecision {
    /// Time after which the request may be admitted, in milliseconds; `None` if it is admitted now.
    pub wait_ms: Option<u64>,
}

/// Charges a request to its customer's quota, in a large system by the owner, the standby or the
/// third, whichever answers first in this order.
///
/// Without an answer of any of them, this entry admits its equal share of the quota.
pub(crate) async fn charge(node: &Node, customer: &Customer, units: f64) -> Admission {
    if !needs_owner(node, customer, units) {
        return admit(node, customer, units);
    }
    for step in caller_route(node, &customer.name) {
        match step {
            QuotaStep::Ask(peer, address) => {
                if let Some(admission) = ask(node, customer, units, (&peer, address)).await {
                    return admission;
                }
            }
            QuotaStep::Decide => {
                node.quota_copies.notify_change();
                let mut quotas = node.quotas.lock();
                return quotas.admit_as_owner(
                    &customer.name,
                    customer.quota,
                    units,
                    Instant::now(),
                );
            }
            QuotaStep::DecideShare => break,
        }
    }
    let mut quotas = node.quotas.lock();
    quotas.admit_share(&customer.name, customer.quota, units, Instant::now())
}

fn admit(node: &Node, customer: &Customer, units: f64) -> Admission {
    let mut quotas = node.quotas.lock();
    quotas.admit(&customer.name, customer.quota, units, Instant::now())
}

/// Returns whether the owner has to decide; a minor request is not worth the delay of the call.
fn needs_owner(node: &Node, customer: &Customer, units: f64) -> bool {
    let Customer { name, quota, .. } = customer;
    let is_large = refresh_interval(node.entry_count()) > MAX_LOCAL_REFRESH;
    if !is_large || quota.rate <= 0.0 {
        return false;
    }
    let mut quotas = node.quotas.lock();
    !quotas.is_minor(name, *quota, units, Instant::now())
}

/// Returns the decision of a peer; `None` if it gives none.
async fn ask(
    node: &Node,
    customer: &Customer,
    units: f64,
    (peer, address): (&EntryName, SocketAddr),
) -> Option<Admission> {
    let request = QuotaRequest {
        entry: node.settings.name.clone(),
        incarnation: node.incarnation(),
        customer: customer.name.clone(),
        totals: node.quotas.lock().totals(&customer.name),
        units,
        passed_on: false,
    };
    let answer = node.peers.charge_quota(address, request);
    let Some(decision) = node.answer_of(peer, answer).await else {
        log_silent(&customer.name, peer);
        return None;
    };
    let Some(wait_ms) = decision.wait_ms else {
        node.quotas.lock().record_charge(&customer.name, units);
        return Some(Admission::Admitted);
    };
    Some(Admission::OverQuota(Duration::from_millis(wait_ms)))
}

fn log_silent(customer: &CustomerName, peer: &EntryName) {
    if log_limit::allows("quota_owner_silent") {
        tracing::info!(event = "quota_owner_silent", %customer, %peer);
    }
}

fn caller_route(node: &Node, customer: &CustomerName) -> QuotaRoute {
    let own = &node.settings.name;
    let now = Instant::now();
    let contact = contact(node, customer, now);
    let silent = node.silent_owners.lock();
    let members = node.members.lock();
    let answers = |peer: &EntryName| silent.answers(peer, now);
    let peers = ready_peers(&members, now);
    QuotaRoute::for_caller(customer.as_str(), own, peers, answers, contact)
}

fn contact(node: &Node, customer: &CustomerName, now: Instant) -> QuotaContact {
    if node.contact.lock().is_lost(now) {
        QuotaContact::Isolated
    } else if node.quotas.lock().is_asked_by_peers(customer, now) {
        QuotaContact::AskedByPeers
    } else {
        QuotaContact::Connected
    }
}

fn peer_route(node: &Node, request: &QuotaRequest) -> QuotaRoute {
    let own = &node.settings.name;
    let now = Instant::now();
    let silent = node.silent_owners.lock();
    let members = node.members.lock();
    let answers = |peer: &EntryName| silent.answers(peer, now);
    let peers = ready_peers(&members, now).filter(|(name, _)| **name != request.entry);
    let customer = request.customer.as_str();
    QuotaRoute::for_peer(customer, own, peers, answers, request.passed_on)
}

/// Returns the ready entries other than this one.
pub(super) fn ready_peers(
    members: &Members,
    now: Instant,
) -> impl Iterator<Item = (&EntryName, SocketAddr)> {
    let ready = members.live(now).filter(|p| p.state.ready);
    ready.map(|p| (&p.state.name, p.state.peer_address))
}

/// Decides on a peer's request, or returns the decision of an entry that ranks higher; `None` if the
/// customer is unknown.
pub(crate) async fn handle_charge(node: &Node, request: QuotaRequest) -> Option<QuotaDecision> {
    for step in peer_route(node, &request) {
        let QuotaStep::Ask(peer, address) = step else {
            break;
        };
        let passed_on = QuotaRequest {
            passed_on: true,
            ..request.clone()
        };
        let answer = node.peers.charge_quota(address, passed_on);
        let answer = node.answer_within(PASS_ON_TIMEOUT, &peer, answer).await;
        if answer.is_some() {
            return answer;
        }
        log_silent(&request.customer, &peer);
    }
    node.quota_copies.notify_change();
    decide_quota(node, &request)
}

/// Decides on a peer's request as the owner of its customer; `None` if the customer is unknown.
pub fn decide_quota(node: &Node, request: &QuotaRequest) -> Option<QuotaDecision> {
    let config = node.config()?;
    let mut customers = config.customers.iter();
    let customer = customers.find(|c| c.name == request.customer)?;
    let mut quotas = node.quotas.lock();
    let admission = quotas.admit_for_peer(request, customer.quota, Instant::now());
    Some(QuotaDecision {
        wait_ms: match admission {
            Admission::Admitted => None,
            Admission::OverQuota(wait) => Some(crate::millis(wait)),
        },
    })
}
