//! What an entry does that gets the endpoint list from readers and has not got a page for a while.
//!
//! In a large system, hundreds of entries may miss pages at the same time, because links or processors are busy.
//! If each read the list then, the store and the links would be full for good. They ask peers for a compressed
//! copy first, and those that get none read the list in turns.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::Feed;
use crate::ListRole;
use crate::Node;
use crate::feeds::endpoint_relay::is_list_supplied;
use crate::feeds::endpoint_relay::list_role;
use crate::feeds::feed_schedule::batch_delay;
use crate::feeds::list_copy::apply_fresher_copy;
use crate::feeds::page_history::PageHistory;
use crate::feeds::reader_order::READERS_PER_DOMAIN;
use crate::feeds::reader_order::domain_order;

/// Number of entries above which those that miss pages ask peers first.
const MAX_SMALL_ENTRIES: usize = 100;

/// Time by which each entry reads the list later than the one before it.
const TURN: Duration = Duration::from_millis(100);

/// Number of entries with a turn of their own; the others read the list with the last of them.
const TURNS: usize = 20;

/// Number of peers that are asked for a copy.
const MAX_ASKED: usize = 2;

/// State of the relay of the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct ListRelay {
    /// Pages that this entry has passed on.
    pub(crate) history: PageHistory,
    /// Whether a page was not applied because one before it is missing.
    pub(crate) has_gap: AtomicBool,
}

/// What an entry does next to keep its list recent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SupplyStep {
    /// Waits for pages.
    Wait,
    /// Asks peers for a copy, and reads the list if that brings nothing.
    Copy,
    /// Reads the list.
    Read,
}

/// Returns what this entry does next to keep its list recent.
pub(crate) fn supply_step(node: &Node) -> SupplyStep {
    if is_list_supplied(node) && !has_gap(node) {
        return SupplyStep::Wait;
    }
    if node.entry_count() <= MAX_SMALL_ENTRIES || list_role(node) != ListRole::Follower {
        return if is_list_supplied(node) {
            SupplyStep::Wait
        } else {
            SupplyStep::Read
        };
    }
    let Some(age) = node.cursor(Feed::Endpoints).lock().age(Instant::now()) else {
        return SupplyStep::Read;
    };
    let batch = batch_delay(node, Feed::Endpoints);
    let due = if has_gap(node) {
        batch / 2
    } else {
        batch + turn(node)
    };
    if age < due {
        SupplyStep::Wait
    } else {
        SupplyStep::Copy
    }
}

fn has_gap(node: &Node) -> bool {
    node.list_relay.has_gap.load(Ordering::Relaxed)
}

/// Returns by how much this entry reads the list later than the first one that is no reader.
fn turn(node: &Node) -> Duration {
    let rank = domain_order(node).rank.saturating_sub(READERS_PER_DOMAIN);
    TURN * rank.min(TURNS) as u32
}

/// Asks peers of the domain for a copy of the list; returns whether one was more recent than this entry's list.
pub(crate) async fn copy_from_peers(node: &Node) -> bool {
    let peers = domain_order(node).peers;
    let asked = peers
        .into_iter()
        .choose_multiple(&mut rand::rng(), MAX_ASKED);
    for address in asked {
        let copy = node.peers.copy_list(address).await;
        if copy.is_some_and(|copy| apply_fresher_copy(node, &copy)) {
            node.list_relay.has_gap.store(false, Ordering::Relaxed);
            return true;
        }
    }
    false
}
