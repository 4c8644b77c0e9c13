//! Leases as a fold over the log's lease stream, and the decision on what to do about one.

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

/// Parts of a term after which the holder renews.
pub const RENEWALS_PER_TERM: u32 = 3;

/// A lease as its newest record left it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Offset of the record that granted it.
    pub epoch: Epoch,
    /// Node that it was granted to.
    pub holder: NodeName,
    /// Offset of its newest record.
    pub last: Offset,
    /// Identity of its newest record.
    pub record: RecordId,
    /// Length of its term.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub term: Duration,
    /// Whether the holder has given it up.
    pub released: bool,
}

/// Leases by duty.
///
/// The fold needs no record from before the one at which it starts: a lease whose records have
/// all expired has lapsed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseState {
    leases: IndexMap<Duty, Lease>,
}

impl LeaseState {
    /// Applies a record.
    pub fn apply(&mut self, record: &Record) {
        let Body::Lease(change) = &record.envelope.body else {
            return;
        };
        match change {
            LeaseChange::Acquire { duty, as_of, term } => {
                self.acquire(record, duty, *as_of, *term);
            }
            LeaseChange::Release { duty, epoch } => {
                if let Some(lease) = self.current(duty, *epoch) {
                    lease.released = true;
                    lease.last = record.offset;
                    lease.record = record.envelope.id;
                }
            }
            LeaseChange::Renew { duty, epoch, term } => self.renew(record, duty, *epoch, *term),
        }
    }

    /// Returns the lease on a duty.
    pub fn get(&self, duty: &Duty) -> Option<&Lease> {
        self.leases.get(duty)
    }

    /// Returns all leases by duty.
    pub fn iter(&self) -> impl Iterator<Item = (&Duty, &Lease)> {
        self.leases.iter()
    }

    fn current(&mut self, duty: &Duty, epoch: Epoch) -> Option<&mut Lease> {
        let lease = self.leases.get_mut(duty)?;
        (lease.epoch == epoch && !lease.released).then_some(lease)
    }

    /// Grants the lease unless it has a record that the candidate had not read.
    fn acquire(&mut self, record: &Record, duty: &Duty, as_of: Offset, term: Duration) {
        if self.leases.get(duty).is_some_and(|l| l.last >= as_of) {
            return;
        }
        let epoch = Epoch(record.offset.0);
        self.leases.insert(duty.clone(), lease(record, epoch, term));
    }

    /// Extends the lease; one whose granting record has expired is taken as it stands.
    fn renew(&mut self, record: &Record, duty: &Duty, epoch: Epoch, term: Duration) {
        match self.leases.get(duty) {
            Some(known) if epoch < known.epoch => return,
            Some(known) if epoch == known.epoch && known.released => return,
            _ => {}
        }
        self.leases.insert(duty.clone(), lease(record, epoch, term));
    }
}

fn lease(record: &Record, epoch: Epoch, term: Duration) -> Lease {
    Lease {
        epoch,
        holder: record.envelope.writer.clone(),
        last: record.offset,
        record: record.envelope.id,
        term,
        released: false,
    }
}

/// What a node knows when it decides about a lease; all times are by its own clock.
#[derive(Clone, Copy, Debug)]
pub struct LeaseView<'a> {
    /// The lease, if there is one.
    pub lease: Option<&'a Lease>,
    /// Whether this process was granted it.
    pub is_own: bool,
    /// Time since this node saw the lease's newest record, or that there is none.
    pub seen: Duration,
    /// Time since this node last asked the log for a change of it.
    pub asked: Option<Duration>,
    /// This node's place among the candidates, if it is one.
    pub rank: Option<u32>,
    /// Whether this node is about to stop.
    pub is_leaving: bool,
    /// Length of the term that this node asks for.
    pub term: Duration,
    /// Margin by which a successor waits longer than the term.
    pub margin: Duration,
    /// Time for which an order of the holder may be in flight to a server that does not check
    /// epochs; zero when all check them.
    pub in_flight: Duration,
}

/// What a node does about a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Asks for it.
    Acquire,
    /// Gives it up.
    Release(Epoch),
    /// Extends it.
    Renew(Epoch),
    /// Does nothing.
    Wait,
}

/// Decides what a node does about a lease.
///
/// Candidates of a lower rank wait a term longer for each candidate before them, which may be
/// cut off from the log.
pub fn decide_lease(view: &LeaseView<'_>) -> LeaseStep {
    let pause = view.term / RENEWALS_PER_TERM;
    let may_ask = view.asked.is_none_or(|asked| asked >= pause);
    if let Some(lease) = view.lease.filter(|l| view.is_own && !l.released) {
        return match (view.is_leaving, may_ask) {
            (true, _) => LeaseStep::Release(lease.epoch),
            (false, true) => LeaseStep::Renew(lease.epoch),
            (false, false) => LeaseStep::Wait,
        };
    }
    let Some(rank) = view.rank.filter(|_| !view.is_leaving) else {
        return LeaseStep::Wait;
    };
    let lapse = match view.lease {
        None => Duration::ZERO,
        Some(lease) if lease.released => view.in_flight,
        Some(lease) => lease.term + view.margin + view.in_flight,
    };
    if may_ask && view.seen >= lapse + view.term * rank {
        LeaseStep::Acquire
    } else {
        LeaseStep::Wait
    }
}
