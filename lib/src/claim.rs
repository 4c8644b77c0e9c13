//! An attempt's claim on a call, and the records that end it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::AttemptId;
use crate::Body;
use crate::ClaimChange;
use crate::ClaimKey;
use crate::ClaimQuery;
use crate::Envelope;
use crate::Gate;
use crate::RecordId;
use crate::RequestId;
use crate::StoredReply;

/// Largest body of an answer that is kept for resends, in bytes.
const KEPT_BODY: usize = 256 * 1024;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The acquisition may be in the log; the call has not been sent.
    Asked,
    /// The call may have been sent.
    Dispatched,
    /// Nothing is left to write about the attempt.
    Settled,
}

/// A claim of an attempt at this gate.
///
/// Dropped before the call was sent, it is released; dropped afterwards, its outcome is recorded
/// as unknown.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) attempt: AttemptId,
    gate: Arc<Gate>,
    request: RequestId,
    key: ClaimKey,
    digest: u64,
    asked: Instant,
    phase: Phase,
}

impl Claim {
    /// Registers a new attempt; nothing has been sent yet.
    pub(crate) fn new(gate: &Arc<Gate>, request: RequestId, key: ClaimKey, digest: u64) -> Self {
        let attempt = AttemptId::random();
        gate.once.holders.enter(attempt);
        Self {
            attempt,
            gate: Arc::clone(gate),
            request,
            key,
            digest,
            asked: Instant::now(),
            phase: Phase::Asked,
        }
    }

    /// Returns the record that acquires the claim.
    pub(crate) fn acquisition(&self) -> Envelope {
        let change = ClaimChange::Acquire {
            key: self.key.clone(),
            attempt: self.attempt,
            gate: self.gate.kernel.node.clone(),
            digest: self.digest,
        };
        envelope(&self.gate, change)
    }

    /// Returns the time since the claim was asked for.
    pub(crate) fn age(&self) -> Duration {
        self.asked.elapsed()
    }

    /// Notes that the attempt holds the claim.
    pub(crate) fn won(&self) {
        self.note("claim.acquired");
    }

    /// Ends an attempt that another one came before; returns the question about that one.
    ///
    /// While a home may still append the acquisition, the attempt is released, lest it come to
    /// hold the claim after the other one has given it up.
    pub(crate) fn lose(mut self, is_open: bool) -> ClaimQuery {
        self.note("claim.lost");
        if !is_open {
            self.settle();
        }
        ClaimQuery {
            key: self.key.clone(),
            digest: self.digest,
            attempt: self.attempt,
            holder: self.attempt,
            wait: Duration::ZERO,
        }
    }

    /// Ends an attempt of which nothing was sent to the log.
    pub(crate) fn withdraw(mut self) {
        self.settle();
    }

    /// Notes that the call may leave from now on.
    pub(crate) fn dispatch(&mut self) {
        self.phase = Phase::Dispatched;
    }

    /// Ends an attempt whose call cannot have reached an endpoint.
    pub(crate) fn unsent(mut self) {
        self.phase = Phase::Asked;
    }

    /// Ends an attempt whose outcome will not be known.
    pub(crate) fn abandon(self) {
        debug_assert_eq!(self.phase, Phase::Dispatched);
    }

    /// Ends an attempt with the answer of its call.
    pub(crate) fn finish(mut self, reply: &StoredReply) {
        self.note("claim.finished");
        self.phase = Phase::Settled;
        let holders = &self.gate.once.holders;
        holders.finish(self.attempt, kept(reply));
        let record = completion(&self.gate, self.key.clone(), self.attempt, reply);
        self.gate.once.outbox.push(record);
    }

    fn settle(&mut self) {
        self.phase = Phase::Settled;
        self.gate.once.holders.forget(self.attempt);
    }

    fn note(&self, what: &str) {
        self.gate.kernel.events.record(
            what,
            &[
                ("request", &self.request),
                ("attempt", &self.attempt),
                ("key", &self.key),
            ],
        );
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let record = match self.phase {
            Phase::Settled => return,
            Phase::Asked => {
                self.note("claim.released");
                let change = ClaimChange::Release {
                    key: self.key.clone(),
                    attempt: self.attempt,
                };
                envelope(&self.gate, change)
            }
            Phase::Dispatched => {
                self.note("claim.abandoned");
                abandonment(&self.gate, self.key.clone(), self.attempt)
            }
        };
        self.gate.once.outbox.push(record);
    }
}

/// Returns the record that an attempt's outcome will not be known.
pub(crate) fn abandonment(gate: &Gate, key: ClaimKey, attempt: AttemptId) -> Envelope {
    envelope(gate, ClaimChange::Abandon { key, attempt })
}

/// Returns the record that keeps an answer for resends.
pub(crate) fn completion(
    gate: &Gate,
    key: ClaimKey,
    attempt: AttemptId,
    reply: &StoredReply,
) -> Envelope {
    let reply = kept(reply);
    let change = ClaimChange::Finish {
        key,
        attempt,
        reply,
    };
    envelope(gate, change)
}

fn kept(reply: &StoredReply) -> StoredReply {
    if reply.body.len() > KEPT_BODY {
        reply.without_body()
    } else {
        reply.clone()
    }
}

fn envelope(gate: &Gate, change: ClaimChange) -> Envelope {
    Envelope {
        id: RecordId::random(),
        writer: gate.kernel.node.clone(),
        at: gate.kernel.clock.now(),
        body: Body::Claim(change),
    }
}
