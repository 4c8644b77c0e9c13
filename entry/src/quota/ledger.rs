//! Customer quotas, enforced across all entries.
//!
//! A customer may send many times its usual rate through every entry at once. Each entry keeps a
//! token bucket for the whole system, from which it deducts what it admits itself and what its
//! peers report as charged. Late reports can make the level negative; no request is admitted until
//! the refill has made up for it. For a silent peer, an equal share of the rate is deducted until
//! its next report, which replaces what was deducted.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::CustomerName;
use crate::EntryName;
use crate::Quota;
use crate::QuotaRequest;
use crate::QuotaTotals;
use crate::peers::owner::SILENT_PEER_PERIOD;
use crate::quota::bucket::Bucket;
use crate::quota::bucket::PeerGroup;
use crate::quota::bucket::over_quota;
use crate::quota::contention::Contention;

/// Weight of the newest request in the moving average of a customer's units.
const MEAN_SMOOTHING_FACTOR: f64 = 0.1;

/// Maximum units of a minor request, as a fraction of the average.
const MAX_MINOR_FRACTION: f64 = 0.1;

/// Result of checking a request against its customer's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request is within the quota, and its units are deducted.
    Admitted,
    /// The request exceeds the quota; it may be admitted after the given time, which is at most
    /// 60 s.
    OverQuota(Duration),
}

/// Token buckets of all customers.
#[derive(Debug)]
pub struct QuotaLedger {
    pub(super) buckets: IndexMap<CustomerName, Bucket>,
    /// Whether buckets start full, as on the first start of the whole system, or empty.
    starts_full: bool,
    group: PeerGroup,
}

impl QuotaLedger {
    /// Creates a ledger without buckets.
    ///
    /// `starts_full` is set only on the first start of the whole system; otherwise buckets start
    /// empty.
    pub fn new(starts_full: bool) -> Self {
        Self {
            buckets: IndexMap::new(),
            starts_full,
            group: PeerGroup::new(1),
        }
    }

    /// Sets the number of entries that share the quotas; at least one is assumed.
    pub fn set_entry_count(&mut self, entry_count: usize) {
        self.group = PeerGroup::new(entry_count);
    }

    /// Creates the buckets of customers, so that reports of peers are deducted from the start.
    pub fn create_buckets<'a>(
        &mut self,
        customers: impl Iterator<Item = (&'a CustomerName, Quota)>,
        now: Instant,
    ) {
        for (customer, quota) in customers {
            self.bucket(customer, quota, now);
        }
    }

    /// Deducts a request's units from its customer's bucket, if the quota allows it.
    ///
    /// A customer with a rate of zero or less has no limit.
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
        let needed = units.min(quota.capacity());
        if bucket.level >= needed {
            bucket.level -= units;
            bucket.own.admitted += units;
            bucket.decided_at = Some(now);
            return Admission::Admitted;
        }
        over_quota(needed - bucket.level, quota)
    }

    /// Deducts a request's units like [`Self::admit`], as the customer's owner: in the order of all requests of
    /// the customer.
    pub fn admit_as_owner(
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
        let decision = bucket.contention.decide(units, bucket.level, quota, now);
        if let Some(wait) = decision {
            return Admission::OverQuota(wait);
        }
        bucket.level -= units;
        bucket.own.admitted += units;
        bucket.decided_at = Some(now);
        Admission::Admitted
    }

    /// Deducts a request's units like [`Self::admit`], within this entry's equal share of the rate.
    ///
    /// An entry that cannot ask the customer's owner knows the charges of its peers late, and they may
    /// be unable to ask it as well.
    pub fn admit_share(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        units: f64,
        now: Instant,
    ) -> Admission {
        if quota.rate <= 0.0 {
            return Admission::Admitted;
        }
        let share = self.group.equal_share(quota);
        let bucket = self.bucket(customer, quota, now);
        // Only a request larger than the share's burst makes the share accumulate beyond it: in a
        // large system the sum of the shares would otherwise exceed the quota's burst several times.
        let needed = units.min(quota.capacity());
        if bucket.share_level < needed {
            bucket.share_goal = bucket.share_goal.max(needed);
            return over_quota(needed - bucket.share_level, share);
        }
        let admission = self.admit(customer, quota, units, now);
        if admission == Admission::Admitted
            && let Some(bucket) = self.buckets.get_mut(customer)
        {
            bucket.share_level -= units;
            bucket.share_goal = 0.0;
        }
        admission
    }

    /// Returns whether a request is so small against the customer's others that such requests
    /// hardly count towards its quota, and includes it in the average.
    pub fn is_minor(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        units: f64,
        now: Instant,
    ) -> bool {
        let bucket = self.bucket(customer, quota, now);
        let mean = bucket.mean_units.unwrap_or(units);
        bucket.mean_units = Some(mean + MEAN_SMOOTHING_FACTOR * (units - mean));
        units < mean * MAX_MINOR_FRACTION
    }

    /// Deducts the units of a peer's request from its customer's bucket, if the quota allows it.
    pub fn admit_for_peer(
        &mut self,
        request: &QuotaRequest,
        quota: Quota,
        now: Instant,
    ) -> Admission {
        let bucket = self.bucket(&request.customer, quota, now);
        bucket.record_peer(&request.entry, request.incarnation, request.totals, now);
        if quota.rate > 0.0 {
            let level = bucket.level;
            let decision = bucket.contention.decide(request.units, level, quota, now);
            if let Some(wait) = decision {
                return Admission::OverQuota(wait);
            }
        }
        bucket.asked_at = Some(now);
        bucket.charge_peer(&request.entry, request.units, now);
        Admission::Admitted
    }

    /// Returns whether this entry has lately admitted a peer's request of a customer.
    pub fn is_asked_by_peers(&self, customer: &CustomerName, now: Instant) -> bool {
        let asked_at = self.buckets.get(customer).and_then(|b| b.asked_at);
        asked_at.is_some_and(|at| now < at + SILENT_PEER_PERIOD)
    }

    /// Deducts the units of a request that the customer's owner has admitted.
    pub fn record_charge(&mut self, customer: &CustomerName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level -= units;
            bucket.own.admitted += units;
        }
    }

    /// Returns units to the bucket that were deducted for a request that did not run.
    pub fn refund(&mut self, customer: &CustomerName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level = (bucket.level + units).min(bucket.quota.capacity());
            bucket.own.refunded += units;
        }
    }

    /// Returns a bucket's level as of its last refill or deduction; negative after late reports.
    pub fn remaining(&self, customer: &CustomerName) -> Option<f64> {
        self.buckets.get(customer).map(|bucket| bucket.level)
    }

    /// Returns what this entry has charged to a customer since its start.
    pub fn totals(&self, customer: &CustomerName) -> QuotaTotals {
        self.buckets
            .get(customer)
            .map_or_else(QuotaTotals::default, |b| b.own)
    }

    /// Returns what this entry has charged to each customer since its start.
    pub fn own_totals(&self) -> IndexMap<CustomerName, QuotaTotals> {
        let used = self
            .buckets
            .iter()
            .filter(|(_, b)| b.own != QuotaTotals::default());
        used.map(|(c, b)| (c.clone(), b.own)).collect()
    }

    /// Deducts what a peer charged since its previous report.
    ///
    /// `totals` holds what the peer has charged to each customer since its start, at `incarnation`;
    /// a customer that is missing has been charged nothing.
    pub fn record_peer(
        &mut self,
        peer: &EntryName,
        incarnation: u64,
        totals: &IndexMap<CustomerName, QuotaTotals>,
        now: Instant,
    ) {
        for (customer, bucket) in &mut self.buckets {
            let totals = totals.get(customer).copied().unwrap_or_default();
            bucket.record_peer(peer, incarnation, totals, now);
        }
    }

    /// Removes a peer, for which nothing is deducted any longer.
    pub fn remove_peer(&mut self, peer: &EntryName) {
        for bucket in self.buckets.values_mut() {
            bucket.peers.swap_remove(peer);
        }
    }

    pub(super) fn bucket(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        now: Instant,
    ) -> &mut Bucket {
        let starts_full = self.starts_full;
        let group = self.group;
        let bucket = self
            .buckets
            .entry(customer.clone())
            .or_insert_with(|| Bucket {
                quota,
                level: if starts_full { quota.capacity() } else { 0.0 },
                share_level: 0.0,
                refilled_at: now,
                own: QuotaTotals::default(),
                mean_units: None,
                peers: IndexMap::new(),
                decided_at: None,
                overflows: Vec::new(),
                asked_at: None,
                share_goal: 0.0,
                contention: Contention::default(),
            });
        bucket.refill(quota, group, now);
        bucket
    }
}
