//! Push-pull gossip between entries: in each round an entry sends its own state and a
//! digest of the known states to one peer, which returns the newer ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::BootTime;
use crate::Config;
use crate::EndpointRecord;
use crate::EntryName;
use crate::EntryState;
use crate::LimitReport;
use crate::Node;
use crate::PeerLoad;
use crate::RelayedState;
use crate::StateRevision;
use crate::apply_limit_reports;
use crate::log_limit;
use crate::placement::evacuation::EvacuationSource;
use crate::placement::evacuation::apply_evacuations;
use crate::wall_millis;

/// Minimum time between rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Round interval per entry in a large system.
const ROUND_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(5);

/// Maximum time between rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Number of peers that an entry sends its final state to at shutdown.
const SHUTDOWN_FAN_OUT: usize = 2;

/// Maximum number of peers that are contacted concurrently after an urgent change.
const URGENT_FAN_OUT: usize = 12;

/// Minimum time between two urgent changes that are sent to several peers.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum number of live peers in the entry's failure domain for most rounds to stay within it.
const MIN_DOMAIN_PEERS: usize = 4;

/// Expected number of rounds per failure domain and round interval whose peer is chosen from all
/// domains.
const ALL_DOMAIN_ROUNDS: f64 = 1.5;

/// Probability that a round goes to any known peer or seed instead of a live one, so that peers
/// that have returned are found.
const RANDOM_PEER_PROBABILITY: f64 = 0.15;

/// Number of known peers from which exchanges are compressed. At 300 entries their states and names fill
/// links of 10 Mbit/s; in small systems the processor time is not worth it.
const MIN_PACKED_DIGEST: usize = 64;

/// Request of a gossip round.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GossipRequest {
    /// State of the requesting entry.
    pub own: EntryState,
    /// Revisions of the states that the requesting entry knows.
    pub digest: IndexMap<EntryName, StateRevision>,
    /// Whether the requesting entry has loaded the endpoint list, or is about to get a copy of it.
    pub has_endpoints: bool,
}

/// Reply to a [`GossipRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GossipReply {
    /// States that are newer than in the digest.
    pub states: Vec<RelayedState>,
    /// Configuration, if newer than that of the requesting entry.
    pub config: Option<Config>,
    /// Endpoint list, if the requesting entry has none.
    pub endpoints: Option<Vec<EndpointRecord>>,
    /// Rate limits of endpoints, if the requesting entry knows no peer and may have just started.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
    /// Wall-clock time of the replying entry, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Merges a peer's request and returns what the peer does not know.
pub fn handle_exchange(node: &Node, exchange: GossipRequest) -> GossipReply {
    let now = Instant::now();
    node.contact.lock().record(now);
    let GossipRequest {
        own,
        digest,
        has_endpoints,
    } = exchange;
    let config = node.config().filter(|c| c.version > own.config);
    let mut states = node.members.lock().newer_than(&digest, now);
    states.retain(|s| s.state.name != own.name);
    states.push(RelayedState {
        state: node.own_state(),
        silent_ms: 0,
    });
    merge_peer_state(node, &own, now);
    apply_membership(node);
    let limits = if digest.is_empty() {
        node.limits.lock().limited(now)
    } else {
        Vec::new()
    };
    GossipReply {
        states,
        config: config.map(|c| Config::clone(&c)),
        endpoints: (!has_endpoints).then(|| serving_endpoints(node)).flatten(),
        limits,
        wall_ms: wall_millis(),
    }
}

/// Applies a peer's reply to the node.
pub fn apply_reply(node: &Node, reply: GossipReply) {
    let now = Instant::now();
    node.contact.lock().record(now);
    if let Some(config) = reply.config {
        node.apply_config(config, "peer");
    }
    if let Some(records) = reply.endpoints {
        let mut endpoints = node.endpoints.lock();
        if !endpoints.is_loaded() {
            tracing::info!(
                event = "endpoints",
                count = records.len(),
                source = "peer",
                "endpoint list loaded"
            );
            endpoints.replace(records, now);
        }
    }
    apply_limit_reports(node, &reply.limits, None);
    for state in reply.states {
        merge_peer_state(node, &state.state, state.updated_at(now));
    }
    apply_membership(node);
}

fn serving_endpoints(node: &Node) -> Option<Vec<EndpointRecord>> {
    let endpoints = node.endpoints.lock();
    let now = Instant::now();
    let known = endpoints.iter().filter(|(_, e)| e.accepts_requests(now));
    endpoints
        .is_loaded()
        .then(|| known.map(|(_, e)| e.record.clone()).collect())
}

/// Merges a state that an entry published at `updated_at`; ignores this entry's own state and
/// states that are not newer than the known one.
fn merge_peer_state(node: &Node, state: &EntryState, updated_at: Instant) {
    if state.name == node.settings.name {
        return;
    }
    let name = state.name.clone();
    if !node.members.lock().merge(state.clone(), updated_at) {
        return;
    }
    let now = Instant::now();
    node.quotas.lock().record_peer(
        &name,
        state.revision.incarnation,
        &state.quota_totals(),
        updated_at,
    );
    if let Some(view) = &state.lease {
        node.lease.lock().record_peer(view, BootTime::now());
    }
    let mut crashes = node.crashes.lock();
    for (request, endpoint, incarnation) in state.crashes() {
        let is_new = crashes.record_peer_crash(request, endpoint, incarnation, now);
        if is_new && log_limit::allows("crash_learnt") {
            tracing::info!(event = "crash_learnt", request = request.0, %endpoint, peer = %name);
        }
    }
    drop(crashes);
    if !state.part_crashes.is_empty() {
        let mut parts = node.part_crashes.lock();
        parts.merge(&name, &state.part_crashes, updated_at, now);
        drop(parts);
        node.announce_crashing_parts(Some(&name));
    }
    apply_limit_reports(node, &current_reports(state, updated_at, now), Some(&name));
    for rollout in &state.rollouts {
        if node.merge_rollout(rollout) {
            tracing::info!(
                event = "rollout_learnt",
                service = %rollout.order.service,
                target = %rollout.order.target,
                stage = ?rollout.stage,
                peer = %name,
            );
        }
    }
    apply_evacuations(
        node,
        &state.evacuations,
        EvacuationSource::Peer(Some(&name)),
    );
    let mut endpoints = node.endpoints.lock();
    for removed in &state.removed {
        if endpoints.mark_removed(removed, now) && log_limit::allows("dropped_learnt") {
            tracing::info!(event = "dropped_learnt", endpoint = %removed.id, peer = %name);
        }
    }
    for (id, incarnation) in state.draining() {
        let is_new = endpoints.mark_draining_as_of(id, incarnation);
        if is_new && log_limit::allows("leaving_learnt") {
            tracing::info!(event = "leaving_learnt", endpoint = %id, peer = %name);
        }
    }
}

/// Returns what a state says of endpoints' rate limits, with the time since it was published added.
fn current_reports(state: &EntryState, updated_at: Instant, now: Instant) -> Vec<LimitReport> {
    let mut reports = state.limits.clone();
    for report in &mut reports {
        report.add_age(now.saturating_duration_since(updated_at));
    }
    reports
}

/// Applies the current membership: removes peers that have been silent for too long from members,
/// quotas and clocks, passes the number of entries to the quotas, and sums the endpoint loads of
/// all live peers.
fn apply_membership(node: &Node) {
    let now = Instant::now();
    let mut members = node.members.lock();
    let removed = members.remove_silent(now);
    let count = members.iter().count() + 1;
    let mut loads: IndexMap<crate::EndpointId, PeerLoad> = IndexMap::new();
    for peer in members.live(now) {
        for report in &peer.state.loads {
            let load = loads.entry(report.id.clone()).or_default();
            load.add(report);
        }
    }
    drop(members);
    let mut quotas = node.quotas.lock();
    quotas.set_entry_count(count);
    for name in &removed {
        tracing::info!(event = "entry_forgotten", entry = %name);
        quotas.remove_peer(name);
        node.clock.lock().remove_peer(name);
    }
    drop(quotas);
    let mut endpoints = node.endpoints.lock();
    endpoints.set_entry_count(count);
    for endpoint in endpoints.iter_mut() {
        let load = loads.get(&endpoint.record.id).copied();
        endpoint.load.peers = load.unwrap_or_default();
    }
}

fn round_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let interval = ROUND_INTERVAL_PER_ENTRY.saturating_mul(entries);
    interval.clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL)
}

/// Runs gossip rounds with one peer each until the process ends, and sends urgent changes to
/// several peers, at most five times a second.
pub async fn run_gossip(node: &Arc<Node>) {
    let mut next_urgent = Instant::now();
    loop {
        node.record_own_clock();
        forget_limits(node);
        if let Some((name, address)) = choose_peer(node) {
            exchange_with(node, name.as_ref(), address).await;
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        let round = round_interval(node.entry_count()).mul_f64(jitter);
        tokio::select! {
            () = tokio::time::sleep(round) => {}
            () = urgent_change(node, next_urgent) => {
                next_urgent = Instant::now() + MIN_URGENT_INTERVAL;
                push_state(node, URGENT_FAN_OUT).await;
            }
        }
    }
}

/// Forgets limits and permits that are no longer of use.
fn forget_limits(node: &Node) {
    let now = Instant::now();
    node.limits.lock().remove_expired(now);
    node.permits.lock().remove_idle(now);
    node.brittle.lock().remove_idle(now);
}

/// Waits for an urgent change, until `not_before` at least; one that comes earlier is kept.
async fn urgent_change(node: &Node, not_before: Instant) {
    tokio::time::sleep_until(not_before).await;
    node.gossip_now.notified().await;
}

/// Sends the final state to some peers before the entry stops; counts since the last round would be
/// lost otherwise.
pub async fn send_final_state(node: &Arc<Node>) {
    push_state(node, SHUTDOWN_FAN_OUT).await;
}

/// Rebuilds this entry's state and exchanges it with `count` random live peers concurrently.
async fn push_state(node: &Arc<Node>, count: usize) {
    node.invalidate_state();
    let peers: Vec<(EntryName, SocketAddr)> = {
        let members = node.members.lock();
        let live = members.live(Instant::now());
        let live = live.map(|p| (p.state.name.clone(), p.state.peer_address));
        live.choose_multiple(&mut rand::rng(), count)
    };
    let exchanges = peers
        .iter()
        .map(|(name, address)| exchange_with(node, Some(name), *address));
    futures_util::future::join_all(exchanges).await;
}

/// Runs one exchange with a peer; `name` is `None` if only its address is known. Returns whether the peer
/// replied.
pub async fn exchange_with(
    node: &Arc<Node>,
    name: Option<&EntryName>,
    address: SocketAddr,
) -> bool {
    let sent = BootTime::now();
    let request = GossipRequest {
        own: node.own_state(),
        digest: node.members.lock().digest(),
        has_endpoints: node.list_start.is_copying() || node.endpoints.lock().is_loaded(),
    };
    let is_large = request.digest.len() >= MIN_PACKED_DIGEST || node.list_start.is_copying();
    let reply = if is_large {
        node.peers.exchange_packed(address, request).await
    } else {
        node.peers.exchange(address, request).await
    };
    let Some(reply) = reply else {
        return false;
    };
    let midpoint_ms = u64::midpoint(sent.millis(), BootTime::now().millis());
    if let Some(name) = name {
        let mut clock = node.clock.lock();
        clock.record_peer(name, reply.wall_ms, midpoint_ms);
    }
    apply_reply(node, reply);
    true
}

/// Selects a random peer or seed for a round; `None` if the selection yields neither.
///
/// Usually selects a live peer, mostly one of this entry's failure domain if that has at least
/// [`MIN_DOMAIN_PEERS`] of them. With a probability of [`RANDOM_PEER_PROBABILITY`], or if no peer
/// is live, selects any known peer with a probability of 0.7, and otherwise, also if no peer is
/// known, a seed if there is one.
fn choose_peer(node: &Node) -> Option<(Option<EntryName>, SocketAddr)> {
    let mut rng = rand::rng();
    let now = Instant::now();
    let members = node.members.lock();
    let address = |p: &crate::Peer| (Some(p.state.name.clone()), p.state.peer_address);
    let use_random_peer = rng.random_bool(RANDOM_PEER_PROBABILITY);
    let domain = &node.settings.domain;
    let same_domain = || members.live(now).filter(|p| p.state.domain == *domain);
    let stay_in_domain = same_domain().count() >= MIN_DOMAIN_PEERS
        && !rng.random_bool((ALL_DOMAIN_ROUNDS / same_domain().count() as f64).min(1.0));
    let live = if stay_in_domain {
        same_domain().map(address).choose(&mut rng)
    } else {
        members.live(now).map(address).choose(&mut rng)
    };
    let known = members.iter().map(address).choose(&mut rng);
    let own = node.settings.peer_address;
    let seeds = node.settings.seeds.iter().filter(|s| **s != own);
    let seed = seeds.copied().choose(&mut rng).map(|s| (None, s));
    match (live, use_random_peer) {
        (Some(live), false) => Some(live),
        _ => known.filter(|_| rng.random_bool(0.7)).or(seed),
    }
}
