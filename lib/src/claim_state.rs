//! Claims on calls that may not be repeated, as a fold over the log's claims stream.
//!
//! An attempt's verdict is fixed by the first record about it in log order: a later copy of its
//! acquisition never makes it the holder. Records may therefore be appended any number of times.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::Body;
use crate::ClaimChange;
use crate::ClaimKey;
use crate::FoldClock;
use crate::NodeName;
use crate::Record;
use crate::StoredReply;
use crate::Timestamp;

/// Time after its last change for which a key is remembered.
pub const KEY_LIFETIME: Duration = Duration::from_hours(24);

/// Attempts remembered for one key.
const ATTEMPTS_KEPT: usize = 64;

/// Bodies of answers kept over all keys, in bytes.
const REPLY_BYTES_KEPT: usize = 32 * 1024 * 1024;

/// Records between two removals of expired keys.
const SWEEP_INTERVAL: u64 = 1024;

/// What is known of a key's call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum ClaimStatus {
    /// No attempt holds the claim, and none has run the call.
    Free,
    /// An attempt holds the claim and may have run the call.
    Held {
        /// Attempt.
        attempt: AttemptId,
        /// Node of its gate.
        gate: NodeName,
    },
    /// The call ran, and its answer is known.
    Finished {
        /// Attempt that ran the call.
        attempt: AttemptId,
        /// Answer.
        reply: StoredReply,
    },
    /// The call may have run, and its holder is gone.
    Unknown {
        /// Attempt that held the claim.
        attempt: AttemptId,
        /// Node of its gate.
        gate: NodeName,
    },
}

/// A key with what is known of its call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// Digest of the call; without meaning while the claim is free.
    pub digest: u64,
    /// What is known of the call.
    pub status: ClaimStatus,
    /// Attempts that do not hold the claim and never will.
    pub spent: Vec<AttemptId>,
    /// Time of the last change.
    pub at: Timestamp,
}

/// What an attempt may do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "view")]
pub enum ClaimView {
    /// The attempt's acquisition has not been read from the log, or other keys' may be missing.
    Pending,
    /// The attempt holds the claim.
    Won,
    /// No attempt holds the claim, and this one never will.
    Free,
    /// Another attempt holds the claim.
    Held {
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Node of its gate.
        gate: NodeName,
    },
    /// The call has run.
    Finished {
        /// Answer.
        reply: StoredReply,
    },
    /// The call may have run, and its holder is gone.
    Unknown {
        /// Attempt that held the claim.
        attempt: AttemptId,
        /// Node of its gate.
        gate: NodeName,
    },
    /// The key was used with another call.
    KeyReused,
}

/// Claims as of an offset.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClaimState {
    entries: IndexMap<String, ClaimEntry>,
    /// Keys whose answers hold a body, oldest first.
    bodies: VecDeque<String>,
    body_bytes: usize,
    clock: FoldClock,
    missing: Missing,
}

/// Whether keys may be in use that the state does not know.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Missing {
    /// Every key in use is known.
    #[default]
    Nothing,
    /// Records have expired unread, and the fold has no time yet.
    Earlier,
    /// Keys last changed before this time may be missing.
    Before(Timestamp),
}

impl ClaimState {
    /// Returns the state before the first record read when earlier ones have expired.
    ///
    /// It grants nothing until every key that it may not know has passed its lifetime.
    pub fn after_gap() -> Self {
        Self {
            missing: Missing::Earlier,
            ..Self::default()
        }
    }

    /// Tells whether every key in use is known.
    pub fn is_whole(&self) -> bool {
        self.missing == Missing::Nothing
    }

    /// Applies a record of the claims stream; records with other content only move the clock.
    pub fn apply(&mut self, record: &Record) {
        self.clock
            .observe(&record.envelope.writer, record.envelope.at);
        self.missing = self.still_missing();
        if let Body::Claim(change) = &record.envelope.body {
            self.change(change, record.envelope.at);
        }
        if record.offset.0.is_multiple_of(SWEEP_INTERVAL) {
            self.sweep();
        }
    }

    /// Returns the fold's time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the number of keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what is known of a key.
    pub fn entry(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        let entry = self.entries.get(&key.to_string());
        entry.filter(|e| !self.is_expired(e))
    }

    /// Returns what an attempt with a call of this digest may do.
    pub fn view(&self, key: &ClaimKey, digest: u64, attempt: AttemptId) -> ClaimView {
        let entry = self.entry(key).filter(|_| self.is_whole());
        let Some(entry) = entry else {
            return ClaimView::Pending;
        };
        let is_free = entry.status == ClaimStatus::Free;
        if !is_free && entry.digest != digest {
            return ClaimView::KeyReused;
        }
        match &entry.status {
            ClaimStatus::Free if entry.spent.contains(&attempt) => ClaimView::Free,
            ClaimStatus::Free => ClaimView::Pending,
            ClaimStatus::Held {
                attempt: holder, ..
            } if *holder == attempt => ClaimView::Won,
            ClaimStatus::Held { attempt, gate } => ClaimView::Held {
                attempt: *attempt,
                gate: gate.clone(),
            },
            ClaimStatus::Finished { reply, .. } => ClaimView::Finished {
                reply: reply.clone(),
            },
            ClaimStatus::Unknown { attempt, gate } => ClaimView::Unknown {
                attempt: *attempt,
                gate: gate.clone(),
            },
        }
    }

    fn still_missing(&self) -> Missing {
        let now = self.clock.now();
        match self.missing {
            Missing::Earlier if now > Timestamp::default() => Missing::Before(now),
            Missing::Before(time) if now.since(time) >= KEY_LIFETIME => Missing::Nothing,
            other => other,
        }
    }

    fn change(&mut self, change: &ClaimChange, at: Timestamp) {
        let at = at.max(self.clock.now());
        match change {
            ClaimChange::Abandon { key, attempt } => self.abandon(key, *attempt, at),
            ClaimChange::Acquire {
                key,
                attempt,
                gate,
                digest,
            } => self.acquire(key, *attempt, gate, *digest, at),
            ClaimChange::Finish {
                key,
                attempt,
                reply,
            } => self.finish(key, *attempt, reply, at),
            ClaimChange::Release { key, attempt } => self.release(key, *attempt, at),
        }
    }

    fn acquire(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        gate: &NodeName,
        digest: u64,
        at: Timestamp,
    ) {
        let entry = self.touch(key, at);
        if entry.spent.contains(&attempt) || entry.holder() == Some(attempt) {
            return;
        }
        if entry.status == ClaimStatus::Free {
            entry.digest = digest;
            entry.status = ClaimStatus::Held {
                attempt,
                gate: gate.clone(),
            };
        } else {
            entry.spend(attempt);
        }
    }

    /// Frees the claim; its holder alone knows that the call was not sent, also after another
    /// node gave the holder up.
    fn release(&mut self, key: &ClaimKey, attempt: AttemptId, at: Timestamp) {
        let entry = self.touch(key, at);
        let is_finished = matches!(entry.status, ClaimStatus::Finished { .. });
        if entry.holder() == Some(attempt) && !is_finished {
            entry.status = ClaimStatus::Free;
        }
        if entry.holder() != Some(attempt) {
            entry.spend(attempt);
        }
    }

    fn finish(&mut self, key: &ClaimKey, attempt: AttemptId, reply: &StoredReply, at: Timestamp) {
        let entry = self.touch(key, at);
        let is_finished = matches!(entry.status, ClaimStatus::Finished { .. });
        let is_new = entry.status == ClaimStatus::Free && entry.spent.is_empty();
        if is_finished || !(is_new || entry.holder() == Some(attempt)) {
            return;
        }
        entry.status = ClaimStatus::Finished {
            attempt,
            reply: reply.clone(),
        };
        self.bodies.push_back(key.to_string());
        self.body_bytes += reply.body.len();
        self.omit_oldest();
    }

    fn abandon(&mut self, key: &ClaimKey, attempt: AttemptId, at: Timestamp) {
        let entry = self.touch(key, at);
        if let ClaimStatus::Held {
            attempt: holder,
            gate,
        } = &entry.status
            && *holder == attempt
        {
            entry.status = ClaimStatus::Unknown {
                attempt,
                gate: gate.clone(),
            };
        }
    }

    /// Returns the key's entry with `at` as the time of its last change.
    fn touch(&mut self, key: &ClaimKey, at: Timestamp) -> &mut ClaimEntry {
        let key = key.to_string();
        let expired = self.entries.get(&key).is_some_and(|e| self.is_expired(e));
        if expired {
            self.remove(&key);
        }
        let entry = self.entries.entry(key).or_insert_with(|| ClaimEntry {
            digest: 0,
            status: ClaimStatus::Free,
            spent: Vec::new(),
            at,
        });
        entry.at = entry.at.max(at);
        entry
    }

    fn is_expired(&self, entry: &ClaimEntry) -> bool {
        self.clock.now().since(entry.at) >= KEY_LIFETIME
    }

    fn sweep(&mut self) {
        let expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| self.is_expired(e))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        let removed = self.entries.swap_remove(key);
        if let Some(ClaimStatus::Finished { reply, .. }) = removed.map(|e| e.status)
            && reply.omitted.is_none()
        {
            self.body_bytes -= reply.body.len();
            self.bodies.retain(|k| k != key);
        }
    }

    /// Drops the bodies of the oldest answers beyond the limit; that the calls ran stays known.
    fn omit_oldest(&mut self) {
        while self.body_bytes > REPLY_BYTES_KEPT {
            let Some(key) = self.bodies.pop_front() else {
                return;
            };
            let status = self.entries.get_mut(&key).map(|e| &mut e.status);
            if let Some(ClaimStatus::Finished { reply, .. }) = status {
                self.body_bytes -= reply.body.len();
                *reply = reply.without_body();
            }
        }
    }
}

impl ClaimEntry {
    fn holder(&self) -> Option<AttemptId> {
        match &self.status {
            ClaimStatus::Free => None,
            ClaimStatus::Finished { attempt, .. }
            | ClaimStatus::Held { attempt, .. }
            | ClaimStatus::Unknown { attempt, .. } => Some(*attempt),
        }
    }

    fn spend(&mut self, attempt: AttemptId) {
        if self.spent.contains(&attempt) {
            return;
        }
        if self.spent.len() == ATTEMPTS_KEPT {
            self.spent.remove(0);
        }
        self.spent.push(attempt);
    }
}
