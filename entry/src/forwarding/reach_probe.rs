//! Probes endpoints while it is doubtful whether this entry reaches any.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use indexmap::IndexSet;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::Endpoint;
use crate::EndpointClient;
use crate::Node;
use crate::ReachChange;

/// Number of endpoints that are probed at a time.
const PROBED_ENDPOINTS: usize = 3;

/// Time between two probes of an entry that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Starts a probe if it is doubtful whether this entry reaches any endpoint.
pub(crate) fn probe_if_doubtful<E: EndpointClient>(node: &Arc<Node>, client: &Arc<E>) {
    if node.reach.lock().begin_probe(Instant::now()) {
        tokio::spawn(probe_until_reached(Arc::clone(node), Arc::clone(client)));
    }
}

/// Returns whether this entry reaches an endpoint; probes some unless one was heard just now.
pub(crate) async fn confirm_reach<E: EndpointClient>(node: &Arc<Node>, client: &Arc<E>) -> bool {
    let begins = {
        let mut reach = node.reach.lock();
        if reach.cut_since().is_some() {
            return false;
        }
        if reach.is_sure(Instant::now()) {
            return true;
        }
        reach.begin_check()
    };
    let is_reached = Probe::default().run(node, &**client).await;
    if begins {
        record_probe(node, is_reached);
    }
    if begins && !is_reached {
        tokio::spawn(probe_until_reached(Arc::clone(node), Arc::clone(client)));
    }
    is_reached
}

async fn probe_until_reached<E: EndpointClient>(node: Arc<Node>, client: Arc<E>) {
    let mut probe = Probe::default();
    loop {
        let is_reached = probe.run(&node, &*client).await;
        record_probe(&node, is_reached);
        if is_reached {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Probes of endpoints, each of another sample until all have been probed.
#[derive(Debug, Default)]
struct Probe {
    probed: IndexSet<SocketAddr>,
}

impl Probe {
    /// Returns whether one of some random endpoints can be connected to.
    async fn run<E: EndpointClient>(&mut self, node: &Node, client: &E) -> bool {
        let endpoints = self.sample_endpoints(node);
        // Without an endpoint there is nothing to be cut off from.
        endpoints.is_empty() || reaches_any(client, endpoints).await
    }

    /// Returns the addresses of random endpoints that take requests, first of those that have not
    /// failed lately: while most endpoints are down, the others tell whether this entry is cut off.
    fn sample_endpoints(&mut self, node: &Node) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut rng = rand::rng();
        let endpoints = node.endpoints.lock();
        let serving = endpoints.iter().map(|(_, endpoint)| endpoint);
        let mut serving: Vec<&Endpoint> = serving.filter(|e| e.accepts_requests(now)).collect();
        if serving
            .iter()
            .all(|e| self.probed.contains(&e.record.address))
        {
            self.probed.clear();
        }
        serving.retain(|e| !self.probed.contains(&e.record.address));
        let (failed, others): (Vec<&Endpoint>, Vec<&Endpoint>) =
            serving.into_iter().partition(|e| e.load.is_avoided(now));
        let mut sample = others
            .into_iter()
            .choose_multiple(&mut rng, PROBED_ENDPOINTS);
        let missing = PROBED_ENDPOINTS - sample.len();
        sample.extend(failed.into_iter().choose_multiple(&mut rng, missing));
        let addresses: Vec<SocketAddr> = sample.into_iter().map(|e| e.record.address).collect();
        self.probed.extend(addresses.iter().copied());
        addresses
    }
}

fn record_probe(node: &Node, is_reached: bool) {
    let change = node.reach.lock().record_probe(is_reached, Instant::now());
    apply_reach_change(node, change);
}

async fn reaches_any<E: EndpointClient>(client: &E, endpoints: Vec<SocketAddr>) -> bool {
    let probes = endpoints
        .into_iter()
        .map(|address| client.can_connect(address));
    stream::iter(probes)
        .buffer_unordered(PROBED_ENDPOINTS)
        .any(|is_reached| async move { is_reached })
        .await
}

/// Logs and counts a change of the contact with endpoints, and tells peers at once whether this entry
/// reaches any.
pub(crate) fn apply_reach_change(node: &Node, change: Option<ReachChange>) {
    match change {
        None => {}
        Some(ReachChange::Doubted) => {
            node.metrics.record_contact("doubted");
            tracing::info!(event = "contact_doubted");
        }
        Some(ReachChange::Confirmed(after)) => {
            node.metrics.record_contact("confirmed");
            tracing::info!(event = "contact_confirmed", after_ms = crate::millis(after));
        }
        Some(ReachChange::Lost) => {
            node.metrics.record_contact("lost");
            tracing::warn!(event = "reach_lost");
            node.gossip_now.notify_one();
        }
        Some(ReachChange::Regained(after)) => {
            node.metrics.record_contact("regained");
            tracing::info!(event = "reach_regained", after_ms = crate::millis(after));
            // What failed meanwhile says nothing of the endpoints.
            for endpoint in node.endpoints.lock().iter_mut() {
                endpoint.load.end_avoidance();
            }
            node.gossip_now.notify_one();
        }
    }
}
