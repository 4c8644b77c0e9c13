//! One customer's token bucket, from which the charges of this entry and of its peers are deducted.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::Admission;
use crate::EntryName;
use crate::Quota;
use crate::quota::contention::Contention;
use crate::refresh_interval;

/// Time without a report, in addition to [`REPORT_INTERVALS`] intervals, after which an equal share
/// of the rate is deducted for a peer.
const BASE_PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum part of the rate that is deducted for all silent peers together while others report.
///
/// Most silent peers are gone and admit nothing, and a customer is due nine tenths of its limit after
/// a loss.
const MAX_ASSUMED_FRACTION: f64 = 0.05;

/// Number of entries from which [`MAX_ASSUMED_FRACTION`] holds: the rate without this part and the
/// equal share of one entry that is cut off are together within 1.1 times the rate.
const MIN_ENTRIES_FOR_MAX_ASSUMED: usize = 7;

/// Time for which refills that did not fit are remembered: the longest cut after which the charges of
/// the other side are not deducted twice.
const OVERFLOW_PERIOD: Duration = Duration::from_secs(15);

/// Length of the time slots in which such refills are summed.
const OVERFLOW_SLOT: Duration = Duration::from_millis(100);

/// Maximum refresh interval at which each entry decides by itself on what its peers report.
pub(super) const MAX_LOCAL_REFRESH: Duration = Duration::from_millis(600);

/// Number of intervals of the peers' reports within which each report usually arrives.
const REPORT_INTERVALS: u32 = 2;

/// Units that an entry has charged to one customer since its start; both numbers only grow, so that
/// a late report never counts as a newer one.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaTotals {
    /// Units of admitted requests.
    pub admitted: f64,
    /// Units returned for requests that did not run.
    pub refunded: f64,
}

impl QuotaTotals {
    pub(super) fn used(self) -> f64 {
        self.admitted - self.refunded
    }

    /// Returns the newer of two reports of one process.
    fn max(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.max(other.admitted),
            refunded: self.refunded.max(other.refunded),
        }
    }
}

#[derive(Debug)]
pub(super) struct PeerTotal {
    pub(super) incarnation: u64,
    pub(super) totals: QuotaTotals,
    pub(super) updated_at: Instant,
    /// Units deducted since the last report without knowing what the peer admitted.
    pub(super) assumed: f64,
    pub(super) assumed_until: Instant,
    /// When this entry last admitted a request of the peer.
    pub(super) decided_at: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Bucket {
    pub(super) quota: Quota,
    pub(super) level: f64,
    /// Units that this entry may admit when it cannot ask the customer's owner; its equal share of the rate.
    pub(super) share_level: f64,
    pub(super) refilled_at: Instant,
    pub(super) own: QuotaTotals,
    /// Moving average of the units of a request; `None` before the first one.
    pub(super) mean_units: Option<f64>,
    pub(super) peers: IndexMap<EntryName, PeerTotal>,
    /// When this entry last admitted a request, its own or a peer's.
    pub(super) decided_at: Option<Instant>,
    /// When this entry last admitted a peer's request.
    pub(super) asked_at: Option<Instant>,
    /// Refills that did not fit into the bucket, by time.
    pub(super) overflows: Vec<(Instant, f64)>,
    /// Units of a refused request that exceed the share's burst, for which the share accumulates.
    pub(super) share_goal: f64,
    /// Order of the requests on which this entry decides for all.
    pub(super) contention: Contention,
}

/// Entries that share the quotas.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerGroup {
    pub(super) size: usize,
    /// Time without a report after which a peer counts as silent.
    pub(super) timeout: Duration,
}

impl PeerGroup {
    pub(super) fn new(size: usize) -> Self {
        let size = size.max(1);
        Self {
            size,
            timeout: BASE_PEER_TIMEOUT + refresh_interval(size) * REPORT_INTERVALS,
        }
    }

    /// Returns the part of a quota that each entry has if all have the same.
    pub(super) fn equal_share(self, quota: Quota) -> Quota {
        let entries = self.size as f64;
        Quota {
            rate: quota.rate / entries,
            burst: quota.burst / entries,
            ..quota
        }
    }
}

impl Bucket {
    pub(super) fn refill(&mut self, quota: Quota, group: PeerGroup, now: Instant) {
        self.quota = quota;
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let share = group.equal_share(quota);
        self.share_level =
            (self.share_level + elapsed * share.rate).min(share.capacity().max(self.share_goal));
        self.level += elapsed * quota.rate;
        self.level -= self.assume_silent(group, elapsed, now);
        let overflow = self.level - quota.capacity();
        if overflow > 0.0 {
            self.level = quota.capacity();
            self.record_overflow(overflow, group, now);
        }
    }

    /// Remembers a refill that did not fit, in case a charge that made room for it is reported late.
    fn record_overflow(&mut self, units: f64, group: PeerGroup, now: Instant) {
        if refresh_interval(group.size) <= MAX_LOCAL_REFRESH {
            return;
        }
        self.overflows.retain(|(at, _)| *at + OVERFLOW_PERIOD > now);
        match self.overflows.last_mut() {
            Some((at, sum)) if *at + OVERFLOW_SLOT > now => *sum += units,
            _ => self.overflows.push((now, units)),
        }
    }

    /// Takes up to `max` of the refills that did not fit since a time.
    fn take_overflow(&mut self, since: Instant, max: f64) -> f64 {
        let mut taken = 0.0;
        for (_, units) in self.overflows.iter_mut().filter(|(at, _)| *at >= since) {
            let part = units.min(max - taken);
            *units -= part;
            taken += part;
        }
        taken
    }

    /// Returns the units that silent peers are assumed to have admitted in the `elapsed` seconds since
    /// the last call.
    fn assume_silent(&mut self, group: PeerGroup, elapsed: f64, now: Instant) -> f64 {
        let equal_share = group.equal_share(self.quota).rate;
        let silent_time = |peer: &PeerTotal| {
            let from = peer.assumed_until.max(peer.updated_at + group.timeout);
            now.saturating_duration_since(from).as_secs_f64()
        };
        let sum: f64 = self.peers.values().map(silent_time).sum::<f64>() * equal_share;
        if sum <= 0.0 {
            return 0.0;
        }
        // The smaller side of a cut must not admit more than its equal shares, as the other side admits
        // nearly the whole rate. An entry cannot tell a cut from the loss of the others.
        let reporting = self.peers.values();
        let reporting = reporting.filter(|peer| now <= peer.updated_at + group.timeout);
        let is_majority = (reporting.count() + 1) * 2 > group.size;
        let max = if is_majority && group.size >= MIN_ENTRIES_FOR_MAX_ASSUMED {
            elapsed * self.quota.rate * MAX_ASSUMED_FRACTION
        } else {
            f64::INFINITY
        };
        let scale = (max / sum).min(1.0);
        for peer in self.peers.values_mut() {
            let time = silent_time(peer);
            if time > 0.0 {
                peer.assumed += time * equal_share * scale;
                peer.assumed_until = now;
            }
        }
        sum * scale
    }

    /// Deducts the units of a peer's request that this entry admits.
    pub(super) fn charge_peer(&mut self, peer: &EntryName, units: f64, now: Instant) {
        self.level -= units;
        self.decided_at = Some(now);
        if let Some(known) = self.peers.get_mut(peer) {
            known.totals.admitted += units;
            known.decided_at = Some(now);
        }
    }

    pub(super) fn record_peer(
        &mut self,
        peer: &EntryName,
        incarnation: u64,
        totals: QuotaTotals,
        now: Instant,
    ) {
        let Some(known) = self.peers.get_mut(peer) else {
            let known = PeerTotal {
                incarnation,
                totals,
                updated_at: now,
                assumed: 0.0,
                assumed_until: now,
                decided_at: None,
            };
            self.peers.insert(peer.clone(), known);
            return;
        };
        if incarnation < known.incarnation {
            return;
        }
        // The totals of a restarted peer start again at zero.
        let (before, newest) = if incarnation == known.incarnation {
            (known.totals, known.totals.max(totals))
        } else {
            (QuotaTotals::default(), totals)
        };
        let reported = newest.used() - before.used();
        self.level += known.assumed - reported;
        let unknown = (reported - known.assumed).max(0.0);
        let previous = known.updated_at;
        known.assumed = 0.0;
        known.incarnation = incarnation;
        known.totals = newest;
        known.updated_at = known.updated_at.max(now);
        // The charges were made after the previous report, so that later refills had room.
        self.level += self.take_overflow(previous, unknown);
    }
}

/// Returns the refusal of a request for which `missing` units are not refilled yet.
pub(super) fn over_quota(missing: f64, quota: Quota) -> Admission {
    let wait = missing / quota.rate;
    Admission::OverQuota(Duration::from_secs_f64(wait.clamp(0.0, 60.0)))
}
