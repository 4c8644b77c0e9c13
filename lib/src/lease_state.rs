//! Lease state computed from the log's lease stream, and the decision on the next step for a
//! lease.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::Body;
use crate::Duty;
use crate::Epoch;
use crate::LeaseChange;
use crate::NodeName;
use crate::Offset;
use crate::Record;
use crate::RecordId;

/// Number of renewals per term: the holder renews its lease at intervals of the term divided by
/// this number.
pub const RENEWALS_PER_TERM: u32 = 3;

/// State of a lease after its newest record.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Fencing token: the offset of the record that granted the lease.
    pub epoch: Epoch,
    /// Node to which the lease was granted.
    pub holder: NodeName,
    /// Offset of the newest record of the lease.
    pub last: Offset,
    /// Identifier of the newest record of the lease.
    pub record: RecordId,
    /// Time for which the newest record grants the lease, serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub term: Duration,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// Leases by duty.
///
/// The state can be computed from any starting record: a lease whose records have all been
/// removed from the log has expired.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseState {
    leases: IndexMap<Duty, Lease>,
}

impl LeaseState {
    /// Applies a record; records that are not about leases have no effect.
    pub fn apply(&mut self, record: &Record) {
        let Body::Lease(change) = &record.envelope.body else {
            return;
        };
        match change {
            LeaseChange::Acquire {
                duty,
                next_unread,
                term,
            } => {
                self.acquire(record, duty, *next_unread, *term);
            }
            LeaseChange::Release { duty, epoch } => {
                if let Some(lease) = self.held_under(duty, *epoch) {
                    lease.released = true;
                    lease.last = record.offset;
                    lease.record = record.envelope.id;
                }
            }
            LeaseChange::Renew { duty, epoch, term } => self.renew(record, duty, *epoch, *term),
        }
    }

    /// Returns the lease on a duty, including an expired or released one.
    pub fn get(&self, duty: &Duty) -> Option<&Lease> {
        self.leases.get(duty)
    }

    /// Returns all leases by duty.
    pub fn iter(&self) -> impl Iterator<Item = (&Duty, &Lease)> {
        self.leases.iter()
    }

    /// Returns the lease on a duty if its epoch is `epoch` and it has not been released.
    fn held_under(&mut self, duty: &Duty, epoch: Epoch) -> Option<&mut Lease> {
        let lease = self.leases.get_mut(duty)?;
        (lease.epoch == epoch && !lease.released).then_some(lease)
    }

    /// Grants the lease unless it has a record that the candidate had not read yet.
    fn acquire(&mut self, record: &Record, duty: &Duty, next_unread: Offset, term: Duration) {
        if self.leases.get(duty).is_some_and(|l| l.last >= next_unread) {
            return;
        }
        let epoch = Epoch(record.offset.0);
        self.leases
            .insert(duty.clone(), granted_lease(record, epoch, term));
    }

    /// Extends the lease.
    ///
    /// A renewal under an unknown or newer epoch is accepted as well, because the record that
    /// granted that epoch may have been removed from the log.
    fn renew(&mut self, record: &Record, duty: &Duty, epoch: Epoch, term: Duration) {
        match self.leases.get(duty) {
            Some(known) if epoch < known.epoch => return,
            Some(known) if epoch == known.epoch && known.released => return,
            _ => {}
        }
        self.leases
            .insert(duty.clone(), granted_lease(record, epoch, term));
    }
}

fn granted_lease(record: &Record, epoch: Epoch, term: Duration) -> Lease {
    Lease {
        epoch,
        holder: record.envelope.writer.clone(),
        last: record.offset,
        record: record.envelope.id,
        term,
        released: false,
    }
}

/// Input of the decision on a lease; all times are measured by the node's own clock.
#[derive(Clone, Copy, Debug)]
pub struct LeaseInput<'a> {
    /// Current lease, if any.
    pub lease: Option<&'a Lease>,
    /// Whether the lease was granted to this process.
    pub is_own: bool,
    /// Time since this node observed the newest record of the lease, or that there is none.
    pub since_record: Duration,
    /// Time since this node last requested a change of the lease, if it ever did.
    pub since_request: Option<Duration>,
    /// Rank of this node among the candidates, from zero; `None` if it is not a candidate.
    pub rank: Option<u32>,
    /// Whether this node is about to shut down.
    pub is_leaving: bool,
    /// Term that this node requests.
    pub term: Duration,
    /// Safety margin for which a successor waits beyond the end of the term.
    pub margin: Duration,
    /// Maximum time for which an order of the holder may be in flight to an endpoint that does not
    /// check epochs; zero if all of them check epochs.
    pub max_order_time: Duration,
}

/// Step that a node takes on a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Requests the lease.
    Acquire,
    /// Releases the lease held under the epoch.
    Release(Epoch),
    /// Extends the lease held under the epoch.
    Renew(Epoch),
    /// Takes no action for now.
    Wait,
}

/// Decides which step a node takes on a lease.
///
/// A candidate waits one additional term for each candidate that ranks before it. After that
/// time, it no longer defers to them, since they may be cut off from the log.
pub fn decide_lease(input: &LeaseInput<'_>) -> LeaseStep {
    let renewal_interval = input.term / RENEWALS_PER_TERM;
    let may_request = input
        .since_request
        .is_none_or(|elapsed| elapsed >= renewal_interval);
    if let Some(lease) = input.lease.filter(|l| input.is_own && !l.released) {
        return match (input.is_leaving, may_request) {
            (true, _) => LeaseStep::Release(lease.epoch),
            (false, true) => LeaseStep::Renew(lease.epoch),
            (false, false) => LeaseStep::Wait,
        };
    }
    let Some(rank) = input.rank.filter(|_| !input.is_leaving) else {
        return LeaseStep::Wait;
    };
    let takeover_delay = match input.lease {
        None => Duration::ZERO,
        Some(lease) if lease.released => input.max_order_time,
        Some(lease) => lease.term + input.margin + input.max_order_time,
    };
    if may_request && input.since_record >= takeover_delay + input.term * rank {
        LeaseStep::Acquire
    } else {
        LeaseStep::Wait
    }
}
