//! A claim held by an attempt at an at-most-once call, and the records that close it.

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
use crate::StoredResponse;

/// Maximum size in bytes of a response body that is stored for retries of the call.
const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The call has not been sent; the acquire record may be in the log.
    NotSent,
    /// The call may have been sent.
    Dispatched,
    /// No further record is needed for the attempt.
    Closed,
}

/// A claim requested or held by an attempt at this gate.
///
/// Dropping it before the call was sent queues a release record. Dropping it after the call may
/// have been sent queues a record that the outcome is unknown.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) attempt: AttemptId,
    gate: Arc<Gate>,
    request: RequestId,
    key: ClaimKey,
    digest: u64,
    created_at: Instant,
    phase: Phase,
}

impl Claim {
    /// Registers a new attempt without sending anything.
    pub(crate) fn new(gate: &Arc<Gate>, request: RequestId, key: ClaimKey, digest: u64) -> Self {
        let attempt = AttemptId::random();
        gate.at_most_once.attempts.register(attempt);
        Self {
            attempt,
            gate: Arc::clone(gate),
            request,
            key,
            digest,
            created_at: Instant::now(),
            phase: Phase::NotSent,
        }
    }

    /// Builds the record that acquires the claim.
    pub(crate) fn acquire_record(&self) -> Envelope {
        let change = ClaimChange::Acquire {
            key: self.key.clone(),
            attempt: self.attempt,
            gate: self.gate.kernel.node.clone(),
            digest: self.digest,
        };
        envelope(&self.gate, change)
    }

    /// Returns the time since the attempt was registered.
    pub(crate) fn age(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// Records the event that the attempt has acquired the claim.
    pub(crate) fn record_acquired(&self) {
        self.record_event("claim.acquired");
    }

    /// Ends an attempt that lost the claim to another one, and returns the query that follows the
    /// current holder.
    ///
    /// If a controller may still append the acquire record (`may_append`), a release record is
    /// queued: otherwise this attempt could acquire the claim after the other one has released it.
    pub(crate) fn into_query(mut self, may_append: bool) -> ClaimQuery {
        self.record_event("claim.lost");
        if !may_append {
            self.close();
        }
        ClaimQuery {
            key: self.key.clone(),
            digest: self.digest,
            attempt: self.attempt,
            holder: self.attempt,
            wait: Duration::ZERO,
        }
    }

    /// Ends an attempt whose acquire record was not sent to the log.
    pub(crate) fn discard(mut self) {
        self.close();
    }

    /// Marks the call as possibly sent from now on.
    pub(crate) fn mark_dispatched(&mut self) {
        self.phase = Phase::Dispatched;
    }

    /// Releases the claim of an attempt whose call cannot have reached an endpoint.
    ///
    /// Dropping the claim in this phase queues the release record.
    pub(crate) fn release(mut self) {
        self.phase = Phase::NotSent;
    }

    /// Ends an attempt whose outcome cannot be determined.
    ///
    /// Dropping the claim in this phase queues the abandon record.
    pub(crate) fn abandon(self) {
        debug_assert_eq!(self.phase, Phase::Dispatched);
    }

    /// Ends an attempt with the response to its call.
    pub(crate) fn finish(mut self, response: &StoredResponse) {
        self.record_event("claim.finished");
        self.phase = Phase::Closed;
        let attempts = &self.gate.at_most_once.attempts;
        attempts.finish(self.attempt, bounded_response(response));
        let record = finish_record(&self.gate, self.key.clone(), self.attempt, response);
        self.gate.at_most_once.outbox.push(record);
    }

    fn close(&mut self) {
        self.phase = Phase::Closed;
        self.gate.at_most_once.attempts.forget(self.attempt);
    }

    fn record_event(&self, name: &str) {
        self.gate.kernel.events.record(
            name,
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
            Phase::Closed => return,
            Phase::NotSent => {
                self.record_event("claim.released");
                let change = ClaimChange::Release {
                    key: self.key.clone(),
                    attempt: self.attempt,
                };
                envelope(&self.gate, change)
            }
            Phase::Dispatched => {
                self.record_event("claim.abandoned");
                abandon_record(&self.gate, self.key.clone(), self.attempt)
            }
        };
        self.gate.at_most_once.outbox.push(record);
    }
}

/// Builds the record that marks an attempt's outcome as unknown.
pub(crate) fn abandon_record(gate: &Gate, key: ClaimKey, attempt: AttemptId) -> Envelope {
    envelope(gate, ClaimChange::Abandon { key, attempt })
}

/// Builds the record that stores a response for retries of the call.
pub(crate) fn finish_record(
    gate: &Gate,
    key: ClaimKey,
    attempt: AttemptId,
    response: &StoredResponse,
) -> Envelope {
    let response = bounded_response(response);
    let change = ClaimChange::Finish {
        key,
        attempt,
        reply: response,
    };
    envelope(gate, change)
}

fn bounded_response(response: &StoredResponse) -> StoredResponse {
    if response.body.len() > MAX_STORED_BODY_BYTES {
        response.without_body()
    } else {
        response.clone()
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
