//! Prefix cache of a model engine, and the events that report its changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Number of tokens in a cache block.
const TOKENS_PER_BLOCK: usize = 16;

/// Maximum number of cache events retained.
const MAX_EVENTS: usize = 10_000;

/// Addition of a block to the cache, or eviction of a block from it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap shows that events were lost.
    pub seq: u64,
    /// Hash of the block and all blocks before it.
    pub block: u64,
    /// Whether the block was added; if not, it was evicted.
    pub stored: bool,
}

/// Response to `GET /cache/events?from=N`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEventsResponse {
    /// Events from sequence number `N` on, except those younger than `event_lag_ms`.
    pub events: Vec<CacheEvent>,
}

/// Cache of prompt blocks that evicts the least recently used block first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Last use of each block, by its hash.
    blocks: IndexMap<u64, u64>,
    /// Hash of each block, by its last use.
    by_last_use: BTreeMap<u64, u64>,
    /// Number of uses so far; the last use of a block is its value at that time.
    use_counter: u64,
    /// Events with the times at which they occurred.
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    /// Returns the number of leading tokens of `text` that are cached, and marks their blocks as
    /// used.
    pub(crate) fn look_up(&mut self, text: &str) -> u32 {
        let mut cached = block_hashes(text);
        let present = cached.iter().take_while(|b| self.blocks.contains_key(*b));
        cached.truncate(present.count());
        for block in cached.iter().rev() {
            self.touch(*block);
        }
        (cached.len() * TOKENS_PER_BLOCK) as u32
    }

    /// Adds the leading blocks of `text` and evicts down to `capacity` blocks.
    ///
    /// Within a text the last block counts as the least recently used, since a block is of no
    /// use without the blocks before it. One in `event_gap` events is lost; zero loses none.
    pub(crate) fn insert(&mut self, text: &str, capacity: usize, event_gap: u64) {
        let mut stored = block_hashes(text);
        stored.truncate(capacity);
        for block in stored.into_iter().rev() {
            if self.touch(block) {
                continue;
            }
            self.use_counter += 1;
            self.blocks.insert(block, self.use_counter);
            self.by_last_use.insert(self.use_counter, block);
            self.record_event(block, true, event_gap);
        }
        while self.blocks.len() > capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                break;
            };
            self.blocks.swap_remove(&block);
            self.record_event(block, false, event_gap);
        }
    }

    /// Returns the number of cached blocks.
    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Removes all blocks without recording events. Called when another version or model has been
    /// loaded.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.by_last_use.clear();
    }

    /// Returns the events from sequence number `from` on that are at least `lag` old.
    pub(crate) fn events(&self, from: u64, lag: Duration) -> CacheEventsResponse {
        let visible = self.events.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let events = visible.map(|(_, event)| *event).filter(|e| e.seq >= from);
        CacheEventsResponse {
            events: events.collect(),
        }
    }

    /// Marks a block as used; returns whether it is cached.
    fn touch(&mut self, block: u64) -> bool {
        let Some(last_use) = self.blocks.get_mut(&block) else {
            return false;
        };
        self.use_counter += 1;
        self.by_last_use.remove(last_use);
        *last_use = self.use_counter;
        self.by_last_use.insert(self.use_counter, block);
        true
    }

    /// Records an event, unless it is one that `event_gap` loses.
    fn record_event(&mut self, block: u64, stored: bool, event_gap: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if event_gap > 0 && seq % event_gap == event_gap - 1 {
            return;
        }
        let event = CacheEvent { seq, block, stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the hashes of the complete blocks of a text; each hash covers all the text before it
/// too.
fn block_hashes(text: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let mut blocks = Vec::new();
    for (i, word) in text.split_whitespace().enumerate() {
        hasher.update(word.as_bytes());
        hasher.update(b" ");
        if (i + 1) % TOKENS_PER_BLOCK == 0 {
            blocks.push(hasher.digest());
        }
    }
    blocks
}
