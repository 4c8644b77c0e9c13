//! Quotas of customers over all entries.
//!
//! Load pattern: one customer sends many times its usual through every entry at once. Each
//! entry keeps a bucket for the whole system and takes from it what it admits itself and what
//! peers say that they admitted; late news become a debt that the refill pays back. For a peer
//! that is silent, its equal share of the rate is taken.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::CustomerName;
use crate::EntryName;
use crate::Quota;

/// Silence of a peer after which its share of the rate is taken in place of its counts.
const SILENCE: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct PeerCount {
    total: f64,
    heard: Instant,
    assumed: Instant,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    refilled: Instant,
    own: f64,
    peers: IndexMap<EntryName, PeerCount>,
}

/// Whether a request is within its customer's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Within the quota.
    Admitted,
    /// Beyond it; within it again after the given time.
    Over(Duration),
}

/// Quota buckets of all customers.
#[derive(Debug)]
pub struct QuotaLedger {
    buckets: IndexMap<CustomerName, Bucket>,
    /// Whether buckets start full, as on the first start of the whole system.
    full: bool,
    entries: usize,
}

impl QuotaLedger {
    /// Creates an empty ledger; buckets start `full` only on the system's first start.
    pub fn new(full: bool) -> Self {
        Self {
            buckets: IndexMap::new(),
            full,
            entries: 1,
        }
    }

    /// Sets the number of entries that share the quotas.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Opens the buckets of customers, so that peers' counts are taken from the start.
    pub fn declare<'a>(
        &mut self,
        customers: impl Iterator<Item = (&'a CustomerName, Quota)>,
        now: Instant,
    ) {
        for (customer, quota) in customers {
            self.bucket(customer, quota, now);
        }
    }

    /// Takes a request's units from its customer's bucket, if they are there.
    pub fn admit(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        units: f64,
        now: Instant,
    ) -> Admission {
        if quota.rate <= 0.0 {
            return Admission::Admitted;
        }
        let bucket = self.bucket(customer, quota, now);
        // A request larger than the burst is admitted from a full bucket.
        let needed = units.min(quota.burst.max(1.0));
        if bucket.level >= needed {
            bucket.level -= units;
            bucket.own += units;
            return Admission::Admitted;
        }
        let wait = (needed - bucket.level) / quota.rate;
        Admission::Over(Duration::from_secs_f64(wait.min(60.0)))
    }

    /// Gives units back that were taken for a request that did not run.
    pub fn give_back(&mut self, customer: &CustomerName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level = (bucket.level + units).min(bucket.quota.burst);
            bucket.own -= units;
        }
    }

    /// Returns the units that a customer had left when it was last looked at.
    pub fn left(&self, customer: &CustomerName) -> Option<f64> {
        self.buckets.get(customer).map(|bucket| bucket.level)
    }

    /// Returns what this entry admitted of each customer since its start.
    pub fn own_totals(&self) -> IndexMap<CustomerName, f64> {
        let buckets = self.buckets.iter();
        buckets.map(|(c, b)| (c.clone(), b.own)).collect()
    }

    /// Takes over what a peer admitted since its start.
    pub fn note_peer(
        &mut self,
        peer: &EntryName,
        totals: &IndexMap<CustomerName, f64>,
        now: Instant,
    ) {
        for (customer, total) in totals {
            let Some(bucket) = self.buckets.get_mut(customer) else {
                continue;
            };
            bucket.note_peer(peer, *total, now);
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: &EntryName) {
        for bucket in self.buckets.values_mut() {
            bucket.peers.swap_remove(peer);
        }
    }

    fn bucket(&mut self, customer: &CustomerName, quota: Quota, now: Instant) -> &mut Bucket {
        let full = self.full;
        let entries = self.entries;
        let bucket = self
            .buckets
            .entry(customer.clone())
            .or_insert_with(|| Bucket {
                quota,
                level: if full { quota.burst } else { 0.0 },
                refilled: now,
                own: 0.0,
                peers: IndexMap::new(),
            });
        bucket.refill(quota, entries, now);
        bucket
    }
}

impl Bucket {
    fn refill(&mut self, quota: Quota, entries: usize, now: Instant) {
        self.quota = quota;
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.level += elapsed * quota.rate;
        self.level -= self.assumed(entries, now);
        self.level = self.level.min(quota.burst);
    }

    /// Returns what silent peers are assumed to have admitted since the last time.
    fn assumed(&mut self, entries: usize, now: Instant) -> f64 {
        let share = self.quota.rate / entries as f64;
        let mut sum = 0.0;
        for peer in self.peers.values_mut() {
            let from = peer.assumed.max(peer.heard + SILENCE);
            if now > from {
                sum += now.duration_since(from).as_secs_f64() * share;
                peer.assumed = now;
            }
        }
        sum
    }

    fn note_peer(&mut self, peer: &EntryName, total: f64, now: Instant) {
        let Some(count) = self.peers.get_mut(peer) else {
            let count = PeerCount {
                total,
                heard: now,
                assumed: now,
            };
            self.peers.insert(peer.clone(), count);
            return;
        };
        // A peer that started again counts from zero.
        let news = if total >= count.total {
            total - count.total
        } else {
            total
        };
        self.level -= news;
        count.total = total;
        count.heard = now;
    }
}
