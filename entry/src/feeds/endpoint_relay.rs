//! Readers of the endpoint list in a large system, and the pages that they pass on.
//!
//! If every entry read the list, the calls to the platform would grow with the number of entries.
//! In a failure domain with many entries one of them reads it often and passes on what it reads, and
//! another one stands by. The other entries read it themselves only when no page has come for a while,
//! or when one is missing between the last page and theirs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EndpointRecord;
use crate::Feed;
use crate::Node;
use crate::StoreEra;
use crate::Update;
use crate::Updates;
use crate::feeds::feed_cursor::Position;
use crate::feeds::feed_schedule::batch_delay;
use crate::feeds::feed_updates::apply_update;
use crate::feeds::reader_order::READERS_PER_DOMAIN;
use crate::feeds::reader_order::domain_order;
use crate::feeds::reader_order::own_key;
use crate::feeds::reader_order::reader_key;

/// Minimum number of entries in a failure domain for some of them not to read the list; in a
/// smaller one the readers would make more calls than all its entries do otherwise.
const MIN_DOMAIN_ENTRIES: usize = 12;

/// Divisor of the batch delay that gives the age of the standby's list from which it reads the list itself.
const STANDBY_DIVISOR: u32 = 2;

/// Maximum number of concurrent calls when a page is passed on.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Time within which an entry must have accepted a page; on full links it takes some hundreds of milliseconds.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Part that an entry takes in reading the endpoint list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListRole {
    /// Reads the list for itself only.
    Single,
    /// Reads the list and passes on what it reads.
    Reader,
    /// Does so while no pages come from the reader.
    Standby,
    /// Takes pages from readers.
    Follower,
}

/// Updates of the endpoint list that a reader passes on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointPage {
    /// Era of the store.
    pub era: StoreEra,
    /// Offset of the first update.
    pub from: u64,
    /// Offset after the last update.
    pub to: u64,
    /// Time since all updates before `to` were known to be all, in milliseconds.
    pub age_ms: u64,
    /// New states of endpoints.
    pub records: Vec<EndpointRecord>,
    /// Endpoints that were removed from the list.
    pub removed: Vec<EndpointId>,
}

impl EndpointPage {
    /// Builds the page of a read from `from`; leaves out records that change nothing but their
    /// sequence number and say that the endpoint is cold for no longer than is known.
    pub(crate) fn new(node: &Node, from: Position, read: &Updates, known_at: Instant) -> Self {
        let now = Instant::now();
        let mut endpoints = node.endpoints.lock();
        let mut page = Self {
            era: from.era,
            from: from.offset,
            to: read.next_position,
            age_ms: crate::millis(known_at.elapsed()),
            records: Vec::new(),
            removed: Vec::new(),
        };
        for update in &read.updates {
            match update {
                Update::Endpoint(record) => {
                    let known = endpoints.by_id_mut(&record.id);
                    let is_news = known.is_none_or(|known| {
                        !known.record.differs_in_sequence_only(record)
                            || known.is_warm_up_extended(record, now)
                    });
                    if is_news {
                        page.records.push(record.clone());
                    }
                }
                Update::Removed(id) => page.removed.push(id.clone()),
                Update::Config(_) | Update::Rollout(_) | Update::Evacuation { .. } => {}
            }
        }
        page
    }
}

/// Returns the part that this entry takes in reading the endpoint list.
pub fn list_role(node: &Node) -> ListRole {
    let own = own_key(node);
    let members = node.members.lock();
    let live = members.live(Instant::now()).map(|p| &p.state);
    let domain = live.filter(|s| s.domain == node.settings.domain);
    let (mut peers, mut rank) = (0, 0);
    for state in domain {
        peers += 1;
        rank += usize::from(reader_key(state.link_mbps, &state.name) < own);
    }
    match rank {
        _ if peers + 1 < MIN_DOMAIN_ENTRIES => ListRole::Single,
        0 => ListRole::Reader,
        rank if rank < READERS_PER_DOMAIN => ListRole::Standby,
        _ => ListRole::Follower,
    }
}

/// Returns whether a reader keeps this entry's list recent enough, so that it need not read it.
pub fn is_list_supplied(node: &Node) -> bool {
    let batch = batch_delay(node, Feed::Endpoints);
    let max_age = match list_role(node) {
        ListRole::Single | ListRole::Reader => return false,
        ListRole::Standby => batch / STANDBY_DIVISOR,
        ListRole::Follower => batch,
    };
    let age = node.cursor(Feed::Endpoints).lock().age(Instant::now());
    age.is_some_and(|age| age < max_age)
}

/// Applies a page; returns `false` without any effect if updates before it are missing.
pub fn apply_page(node: &Node, page: EndpointPage) -> bool {
    let mut cursor = node.cursor(Feed::Endpoints).lock();
    let own = cursor.position();
    let Some(own) = own.filter(|p| p.era == page.era && p.offset >= page.from) else {
        node.list_relay
            .has_gap
            .store(own.is_some(), Ordering::Relaxed);
        return false;
    };
    node.list_relay.has_gap.store(false, Ordering::Relaxed);
    // Records of a page that another one has overtaken may be older than the known ones.
    if own.offset < page.to {
        for record in page.records {
            apply_update(node, Update::Endpoint(record));
        }
        for id in page.removed {
            apply_update(node, Update::Removed(id));
        }
    }
    let now = Instant::now();
    let known_at = now.checked_sub(Duration::from_millis(page.age_ms));
    let position = Position {
        offset: page.to,
        era: page.era,
    };
    cursor.advance(position, known_at.unwrap_or(now));
    true
}

/// Returns a page with the changes of the pages that this entry has passed on before it.
pub fn extend_page(node: &Node, page: EndpointPage) -> EndpointPage {
    node.list_relay.history.extend(page)
}

/// Passes a page on to the live entries of the failure domain.
pub(crate) async fn pass_on(node: Arc<Node>, page: EndpointPage) {
    let (node, page) = (&node, &page);
    let addresses = domain_order(node).peers;
    stream::iter(addresses)
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |address| async move {
            let call = node.peers.send_page(address, page.clone());
            if tokio::time::timeout(PAGE_TIMEOUT, call).await.is_err() {
                tracing::debug!(event = "page_unconfirmed", %address);
            }
        })
        .await;
}
