//! Claims on at-most-once calls, as a fold over the log's claims stream.
//!
//! The first record about an attempt in log order decides whether it holds the claim; a later
//! copy of its acquisition never makes it the holder. Records may therefore be appended any
//! number of times.

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
use crate::StoredResponse;
use crate::Timestamp;

/// Time for which a key is kept after its last change.
pub const KEY_RETENTION: Duration = Duration::from_hours(24);

/// Maximum number of barred attempts kept for one key; the oldest is dropped first.
const MAX_BARRED_ATTEMPTS: usize = 64;

/// Maximum total size of the response bodies kept over all keys, in bytes.
const MAX_TOTAL_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Number of offsets between two removals of expired keys.
const SWEEP_INTERVAL_OFFSETS: u64 = 1024;

/// State of the call that a key identifies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum ClaimStatus {
    /// No attempt holds the claim, and none has run the call.
    Free,
    /// An attempt holds the claim and may have run the call.
    Held {
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Node of the gate that made the attempt.
        gate: NodeName,
    },
    /// The call ran, and its response is known.
    Finished {
        /// Attempt that ran the call.
        attempt: AttemptId,
        /// Response to the call.
        reply: StoredResponse,
    },
    /// The call may have run, and its holder can no longer report the result.
    Unknown {
        /// Attempt that held the claim.
        attempt: AttemptId,
        /// Node of the gate that made the attempt.
        gate: NodeName,
    },
}

/// State of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// Digest of the call's customer, service, method, path and body; not meaningful while the
    /// claim is free.
    pub digest: u64,
    /// State of the call.
    pub status: ClaimStatus,
    /// Attempts that do not hold the claim and can no longer acquire it.
    #[serde(rename = "spent")]
    pub barred: Vec<AttemptId>,
    /// Time of the last change.
    pub at: Timestamp,
}

/// State of a claim as one attempt sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "view")]
pub enum ClaimView {
    /// The attempt's acquisition has not been read from the log, or the state may lack keys that
    /// are in use.
    Pending,
    /// The attempt holds the claim.
    Won,
    /// No attempt holds the claim, and this one can no longer acquire it.
    Free,
    /// Another attempt holds the claim.
    Held {
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Node of the gate that made the attempt.
        gate: NodeName,
    },
    /// The call has run.
    Finished {
        /// Response to the call.
        reply: StoredResponse,
    },
    /// The call may have run, and its holder can no longer report the result.
    Unknown {
        /// Attempt that held the claim.
        attempt: AttemptId,
        /// Node of the gate that made the attempt.
        gate: NodeName,
    },
    /// The key was used with a call of another digest.
    KeyReused,
}

/// Claims up to an offset of the claims stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClaimState {
    entries: IndexMap<String, ClaimEntry>,
    /// Keys whose responses still have their body, oldest first.
    bodies: VecDeque<String>,
    body_bytes: usize,
    clock: FoldClock,
    #[serde(rename = "missing")]
    gap: ReadGap,
}

/// Gap left by records that expired before this state read them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum ReadGap {
    /// No gap: every key in use is known.
    #[default]
    #[serde(rename = "nothing")]
    None,
    /// Records have expired, and the fold clock has no time yet.
    #[serde(rename = "earlier")]
    Undated,
    /// Keys last changed before this time may be unknown.
    Before(Timestamp),
}

impl ClaimState {
    /// Returns the state before the first record read when earlier ones have expired.
    ///
    /// It grants no claim until every key that it may lack has passed its retention period.
    pub fn after_gap() -> Self {
        Self {
            gap: ReadGap::Undated,
            ..Self::default()
        }
    }

    /// Returns whether every key in use is known.
    pub fn is_complete(&self) -> bool {
        self.gap == ReadGap::None
    }

    /// Applies a record of the claims stream; records with other content only advance the clock.
    pub fn apply(&mut self, record: &Record) {
        self.clock
            .observe(&record.envelope.writer, record.envelope.at);
        self.gap = self.remaining_gap();
        if let Body::Claim(change) = &record.envelope.body {
            self.apply_change(change, record.envelope.at);
        }
        if record.offset.0.is_multiple_of(SWEEP_INTERVAL_OFFSETS) {
            self.sweep();
        }
    }

    /// Returns the time of the fold clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the number of keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the state of a key that has not expired.
    pub fn entry(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        let entry = self.entries.get(&key.to_string());
        entry.filter(|e| !self.is_expired(e))
    }

    /// Returns the claim as an attempt with a call of this digest sees it.
    pub fn view(&self, key: &ClaimKey, digest: u64, attempt: AttemptId) -> ClaimView {
        let entry = self.entry(key).filter(|_| self.is_complete());
        let Some(entry) = entry else {
            return ClaimView::Pending;
        };
        let is_free = entry.status == ClaimStatus::Free;
        if !is_free && entry.digest != digest {
            return ClaimView::KeyReused;
        }
        match &entry.status {
            ClaimStatus::Free if entry.barred.contains(&attempt) => ClaimView::Free,
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

    fn remaining_gap(&self) -> ReadGap {
        let now = self.clock.now();
        match self.gap {
            ReadGap::Undated if now > Timestamp::default() => ReadGap::Before(now),
            ReadGap::Before(time) if now.since(time) >= KEY_RETENTION => ReadGap::None,
            other => other,
        }
    }

    fn apply_change(&mut self, change: &ClaimChange, at: Timestamp) {
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
        if entry.barred.contains(&attempt) || entry.holder() == Some(attempt) {
            return;
        }
        if entry.status == ClaimStatus::Free {
            entry.digest = digest;
            entry.status = ClaimStatus::Held {
                attempt,
                gate: gate.clone(),
            };
        } else {
            entry.add_barred(attempt);
        }
    }

    /// Frees the claim. Only its holder knows that the call was not sent, so a release
    /// counts even after another node has abandoned the attempt.
    fn release(&mut self, key: &ClaimKey, attempt: AttemptId, at: Timestamp) {
        let entry = self.touch(key, at);
        let is_finished = matches!(entry.status, ClaimStatus::Finished { .. });
        if entry.holder() == Some(attempt) && !is_finished {
            entry.status = ClaimStatus::Free;
        }
        if entry.holder() != Some(attempt) {
            entry.add_barred(attempt);
        }
    }

    fn finish(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        response: &StoredResponse,
        at: Timestamp,
    ) {
        let entry = self.touch(key, at);
        let is_finished = matches!(entry.status, ClaimStatus::Finished { .. });
        let is_new = entry.status == ClaimStatus::Free && entry.barred.is_empty();
        if is_finished || !(is_new || entry.holder() == Some(attempt)) {
            return;
        }
        entry.status = ClaimStatus::Finished {
            attempt,
            reply: response.clone(),
        };
        self.bodies.push_back(key.to_string());
        self.body_bytes += response.body.len();
        self.drop_oldest_bodies();
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

    /// Returns the key's entry, created if absent or expired, with its last change moved to `at`.
    fn touch(&mut self, key: &ClaimKey, at: Timestamp) -> &mut ClaimEntry {
        let key = key.to_string();
        let expired = self.entries.get(&key).is_some_and(|e| self.is_expired(e));
        if expired {
            self.remove(&key);
        }
        let entry = self.entries.entry(key).or_insert_with(|| ClaimEntry {
            digest: 0,
            status: ClaimStatus::Free,
            barred: Vec::new(),
            at,
        });
        entry.at = entry.at.max(at);
        entry
    }

    fn is_expired(&self, entry: &ClaimEntry) -> bool {
        self.clock.now().since(entry.at) >= KEY_RETENTION
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

    /// Drops the bodies of the oldest responses beyond [`MAX_TOTAL_BODY_BYTES`]; the keys stay
    /// finished.
    fn drop_oldest_bodies(&mut self) {
        while self.body_bytes > MAX_TOTAL_BODY_BYTES {
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

    fn add_barred(&mut self, attempt: AttemptId) {
        if self.barred.contains(&attempt) {
            return;
        }
        if self.barred.len() == MAX_BARRED_ATTEMPTS {
            self.barred.remove(0);
        }
        self.barred.push(attempt);
    }
}
