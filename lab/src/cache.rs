//! Prefix cache of a model engine and its events.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Tokens in a cache block.
const BLOCK_TOKENS: usize = 16;

/// Cache events kept.
const EVENTS_KEPT: usize = 10_000;

/// A block that entered or left the cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a gap shows that events were lost.
    pub seq: u64,
    /// Hash of the block and all before it.
    pub block: u64,
    /// Whether the block entered the cache; else it left.
    pub stored: bool,
}

/// Answer to `GET /cache/events?from=N`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheReply {
    /// Events from the asked number on.
    pub events: Vec<CacheEvent>,
}

/// Cache of prompt blocks that evicts the least recently used.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    blocks: IndexMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    seq: u64,
}

impl PrefixCache {
    /// Returns the number of leading tokens of `text` that are cached, and marks them used.
    pub(crate) fn look_up(&mut self, text: &str) -> u32 {
        let mut cached = blocks(text);
        let known = cached.iter().take_while(|b| self.blocks.contains_key(*b));
        cached.truncate(known.count());
        for block in cached.iter().rev() {
            self.touch(*block);
        }
        (cached.len() * BLOCK_TOKENS) as u32
    }

    /// Stores the leading blocks of `text`, evicting down to `capacity` blocks.
    ///
    /// Within a text the last block counts as the least recently used, since a block is of no
    /// use without those before it.
    pub(crate) fn store(&mut self, text: &str, capacity: usize, gap: u64) {
        let mut stored = blocks(text);
        stored.truncate(capacity);
        for block in stored.into_iter().rev() {
            if self.touch(block) {
                continue;
            }
            self.clock += 1;
            self.blocks.insert(block, self.clock);
            self.by_use.insert(self.clock, block);
            self.publish(block, true, gap);
        }
        while self.blocks.len() > capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            self.blocks.swap_remove(&block);
            self.publish(block, false, gap);
        }
    }

    /// Returns the number of blocks in use.
    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Forgets everything, as when another model is loaded.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
    }

    /// Returns the events from number `from` on that are older than `lag`.
    pub(crate) fn events(&self, from: u64, lag: Duration) -> CacheReply {
        let due = self.events.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let events = due.map(|(_, event)| *event).filter(|e| e.seq >= from);
        CacheReply {
            events: events.collect(),
        }
    }

    fn touch(&mut self, block: u64) -> bool {
        let Some(used) = self.blocks.get_mut(&block) else {
            return false;
        };
        self.clock += 1;
        self.by_use.remove(used);
        *used = self.clock;
        self.by_use.insert(self.clock, block);
        true
    }

    fn publish(&mut self, block: u64, stored: bool, gap: u64) {
        let seq = self.seq;
        self.seq += 1;
        if gap > 0 && seq % gap == gap - 1 {
            return;
        }
        let event = CacheEvent { seq, block, stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}

/// Returns the hashes of the whole blocks of a text; each covers all the text before it.
fn blocks(text: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let mut found = Vec::new();
    for (i, word) in text.split_whitespace().enumerate() {
        hasher.update(word.as_bytes());
        hasher.update(b" ");
        if (i + 1) % BLOCK_TOKENS == 0 {
            found.push(hasher.digest());
        }
    }
    found
}
