//! Tells peers at once when an endpoint's rate limit changes.
//!
//! Gossip takes seconds in a large system, while each entry that has not heard of a limit sends what
//! its callers ask for. Each entry to which a change is new therefore tells a few random peers.
//! Gossip reaches those that are left out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EntryName;
use crate::LimitChange;
use crate::LimitReport;
use crate::Node;
use crate::RateLimit;

/// Number of peers that an entry tells of a change.
const FAN_OUT: usize = 4;

/// Minimum time between two announcements of an entry.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// Where an entry has learnt of a change.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LimitSource<'a> {
    /// In a response of the endpoint.
    Response,
    /// From a peer, with its name if known.
    Peer(Option<&'a EntryName>),
}

impl LimitSource<'_> {
    const fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Peer(_) => "peer",
        }
    }

    fn peer(&self) -> Option<&str> {
        match self {
            Self::Peer(Some(name)) => Some(name.as_str()),
            Self::Peer(None) | Self::Response => None,
        }
    }
}

/// Applies what a peer knows of endpoints' limits; `peer` is its name if known.
pub fn apply_limit_reports(node: &Node, reports: &[LimitReport], peer: Option<&EntryName>) {
    for report in reports {
        let change = node.limits.lock().merge(report, Instant::now());
        if let Some(change) = change {
            apply_limit_change(node, &report.endpoint, change, LimitSource::Peer(peer));
        }
    }
}

/// Logs a change, announces it to peers and lets requests try the endpoint again.
pub(crate) fn apply_limit_change(
    node: &Node,
    endpoint: &EndpointId,
    change: LimitChange,
    source: LimitSource<'_>,
) {
    tracing::info!(
        event = "endpoint_limit",
        %endpoint,
        limit = change.limit.map(RateLimit::per_second),
        previous = change.previous.map(RateLimit::per_second),
        source = source.name(),
        peer = source.peer(),
    );
    if let Some(endpoint) = node.endpoints.lock().by_id_mut(endpoint) {
        endpoint.load.end_hold();
    }
    node.limit_changed.notify_one();
}

/// Announces changes until the process ends.
pub async fn announce_limits(node: &Arc<Node>) {
    loop {
        wait_for_change(node).await;
        let reports = node.limits.lock().take_announcements(Instant::now());
        for address in choose_peers(node) {
            tokio::spawn(send_reports(Arc::clone(node), address, reports.clone()));
        }
        tokio::time::sleep(MIN_ANNOUNCEMENT_INTERVAL).await;
    }
}

/// Waits until a change is to be announced.
async fn wait_for_change(node: &Node) {
    loop {
        let changed = node.limit_changed.notified();
        let next = node.limits.lock().next_announcement();
        match next {
            None => changed.await,
            Some(at) if at <= Instant::now() => return,
            Some(at) => tokio::time::sleep_until(at).await,
        }
    }
}

fn choose_peers(node: &Node) -> Vec<SocketAddr> {
    let members = node.members.lock();
    let live = members.live(Instant::now());
    let addresses = live.map(|p| p.state.peer_address);
    addresses.choose_multiple(&mut rand::rng(), FAN_OUT)
}

async fn send_reports(node: Arc<Node>, address: SocketAddr, reports: Vec<LimitReport>) {
    node.peers.announce_limits(address, reports).await;
}
