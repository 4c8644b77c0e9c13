//! Tells peers at once what an endpoint has said that binds all entries, its rate limit and that it
//! leaves, and how much this entry knows of the platform's feeds.
//!
//! Gossip takes seconds in a large system, while each entry that has not heard sends what its callers
//! ask for. Each entry to which something is new therefore tells a few random peers. Gossip reaches
//! those that are left out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EntryName;
use crate::Evacuations;
use crate::Feed;
use crate::FeedNews;
use crate::LimitChange;
use crate::LimitKind;
use crate::LimitReport;
use crate::Node;
use crate::RateLimit;
use crate::feeds::feed_news::apply_feed_news;
use crate::feeds::feed_news::take_feed_news;
use crate::log_limit;
use crate::peers::fan_out::FAN_OUT;
use crate::peers::fan_out::LARGE_FAN_OUT;
use crate::peers::fan_out::MAX_SMALL_ENTRIES;
use crate::placement::evacuation::EvacuationSource;
use crate::placement::evacuation::apply_evacuations;

/// Minimum time between two announcements of an entry.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// What an entry tells its peers at once.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct News {
    /// Rate limits.
    pub limits: Vec<LimitReport>,
    /// Endpoints that leave, with the start of their incarnation in milliseconds since the Unix
    /// epoch.
    pub leaving: IndexMap<EndpointId, u64>,
    /// How much the entry knows of the operators' orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<FeedNews>,
    /// How much the entry knows of the endpoint list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints: Option<FeedNews>,
    /// Evacuated failure domains; the default if they have not changed.
    #[serde(default, skip_serializing_if = "Evacuations::is_unknown")]
    pub evacuations: Evacuations,
}

impl News {
    /// Returns the number of peers to tell, by the number of entries. Limits and what is known of feeds are
    /// announced again and again; a departure is announced once by each entry.
    pub fn fan_out(&self, entries: usize) -> usize {
        if entries > MAX_SMALL_ENTRIES && !self.leaving.is_empty() {
            LARGE_FAN_OUT
        } else {
            FAN_OUT
        }
    }

    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
            && self.leaving.is_empty()
            && self.orders.is_none()
            && self.endpoints.is_none()
            && self.evacuations.is_unknown()
    }
}

/// Where an entry has learnt of a change.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NewsSource<'a> {
    /// In a response of the endpoint.
    Response,
    /// From a peer, with its name if known.
    Peer(Option<&'a EntryName>),
}

impl NewsSource<'_> {
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

/// Applies what a peer has announced; what is new is announced to other peers.
pub fn apply_news(node: &Node, news: &News) {
    apply_limit_reports(node, &news.limits, None);
    apply_evacuations(node, &news.evacuations, EvacuationSource::Peer(None));
    for (feed, news) in [
        (Feed::Orders, news.orders),
        (Feed::Endpoints, news.endpoints),
    ] {
        if let Some(news) = news {
            apply_feed_news(node, feed, news);
        }
    }
    for (endpoint, incarnation) in &news.leaving {
        let mut endpoints = node.endpoints.lock();
        let is_new = endpoints.mark_draining_as_of(endpoint, Some(*incarnation));
        drop(endpoints);
        if is_new {
            if log_limit::allows("leaving_learnt") {
                tracing::info!(event = "leaving_learnt", %endpoint);
            }
            announce_leaving(node, endpoint, *incarnation);
        }
    }
}

/// Applies what a peer knows of endpoints' limits; `peer` is its name if known.
pub fn apply_limit_reports(node: &Node, reports: &[LimitReport], peer: Option<&EntryName>) {
    for report in reports {
        let change = node.limits.lock().merge(report, Instant::now());
        if let Some(change) = change {
            let source = NewsSource::Peer(peer);
            apply_limit_change(node, &report.endpoint, report.kind, change, source);
        }
    }
}

/// Logs a change, announces it to peers and lets requests try the endpoint again.
pub(crate) fn apply_limit_change(
    node: &Node,
    endpoint: &EndpointId,
    kind: LimitKind,
    change: LimitChange,
    source: NewsSource<'_>,
) {
    if log_limit::allows("endpoint_limit") {
        tracing::info!(
            event = "endpoint_limit",
            %endpoint,
            ?kind,
            limit = change.limit.map(RateLimit::per_second),
            previous = change.previous.map(RateLimit::per_second),
            source = source.name(),
            peer = source.peer(),
        );
    }
    if let Some(endpoint) = node.endpoints.lock().by_id_mut(endpoint) {
        endpoint.load.end_hold();
        if kind == LimitKind::Rejections {
            endpoint.load.set_brittle(change.limit.is_some());
        }
    }
    node.news_added.notify_one();
}

/// Announces to peers that an endpoint leaves.
pub(crate) fn announce_leaving(node: &Node, endpoint: &EndpointId, incarnation: u64) {
    let mut leaving = node.unannounced_leaving.lock();
    leaving.insert(endpoint.clone(), incarnation);
    drop(leaving);
    node.news_added.notify_one();
}

/// Takes what is to be announced to peers at `now`.
pub fn take_news(node: &Node, now: Instant) -> News {
    News {
        limits: node.limits.lock().take_announcements(now),
        leaving: std::mem::take(&mut node.unannounced_leaving.lock()),
        orders: take_feed_news(node, Feed::Orders, now),
        endpoints: take_feed_news(node, Feed::Endpoints, now),
        evacuations: take_evacuations(node),
    }
}

/// Takes the evacuated domains if they are to be announced; the default if they are not.
fn take_evacuations(node: &Node) -> Evacuations {
    let is_unannounced = std::mem::take(&mut *node.is_evacuation_unannounced.lock());
    if is_unannounced {
        node.endpoints.lock().evacuations().clone()
    } else {
        Evacuations::default()
    }
}

/// Announces what is new until the process ends.
pub async fn announce_news(node: &Arc<Node>) {
    loop {
        wait_for_news(node).await;
        let news = take_news(node, Instant::now());
        for address in choose_peers(node, news.fan_out(node.entry_count())) {
            tokio::spawn(send_news(Arc::clone(node), address, news.clone()));
        }
        tokio::time::sleep(MIN_ANNOUNCEMENT_INTERVAL).await;
    }
}

/// Waits until something is to be announced.
async fn wait_for_news(node: &Node) {
    loop {
        let added = node.news_added.notified();
        if has_news(node) {
            return;
        }
        let next = node.limits.lock().next_announcement();
        match next {
            None => added.await,
            Some(at) if at <= Instant::now() => return,
            Some(at) => {
                // News in the meantime may be due at once.
                let _ = tokio::time::timeout_at(at, added).await;
            }
        }
    }
}

/// Returns whether there is anything to announce, apart from limits.
fn has_news(node: &Node) -> bool {
    let feeds = [Feed::Orders, Feed::Endpoints];
    !node.unannounced_leaving.lock().is_empty()
        || *node.is_evacuation_unannounced.lock()
        || feeds.iter().any(|feed| node.told(*feed).has_news())
}

fn choose_peers(node: &Node, count: usize) -> Vec<SocketAddr> {
    let members = node.members.lock();
    let live = members.live(Instant::now());
    let addresses = live.map(|p| p.state.peer_address);
    addresses.choose_multiple(&mut rand::rng(), count)
}

async fn send_news(node: Arc<Node>, address: SocketAddr, news: News) {
    node.peers.announce_news(address, news).await;
}
