//! Copies of a customer's bucket that the owner sends to the entries that take over if it fails.
//!
//! Without a copy, an entry that takes over learns by gossip, seconds later, of what the owner has
//! admitted, and meanwhile admits it a second time. A copy holds the level and the charges that led
//! to it: without the charges, the later gossip would deduct them again.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::CustomerName;
use crate::EntryName;
use crate::Quota;
use crate::QuotaLedger;
use crate::QuotaTotals;
use crate::quota::bucket::Bucket;
use crate::quota::bucket::PeerTotal;
use crate::quota::contention::QuotaBacklog;

/// Charges of one process of an entry.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChargedTotals {
    /// Start of the entry's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// What the entry has charged to the customer since then.
    pub totals: QuotaTotals,
}

/// Copy of a customer's bucket as its owner knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaCopy {
    /// Customer whose bucket this is.
    pub customer: CustomerName,
    /// Units left in the bucket; negative while charges exceed the refill.
    pub level: f64,
    /// Charges that the owner has decided on since its previous copy, by entry.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub charged: IndexMap<EntryName, ChargedTotals>,
    /// Units of refused requests with a retry time.
    #[serde(default, skip_serializing_if = "QuotaBacklog::is_empty")]
    pub backlog: QuotaBacklog,
}

impl QuotaLedger {
    /// Returns a copy of a customer's bucket with the charges decided since `since`, or all of them
    /// if that is `None`; `own` is this entry with the start of its process.
    pub fn copy(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        own: (&EntryName, u64),
        since: Option<Instant>,
        now: Instant,
    ) -> QuotaCopy {
        let bucket = self.bucket(customer, quota, now);
        let (name, incarnation) = own;
        let mut charged = bucket.charged_since(since);
        let totals = ChargedTotals {
            incarnation,
            totals: bucket.own,
        };
        charged.insert(name.clone(), totals);
        QuotaCopy {
            customer: customer.clone(),
            level: bucket.level,
            charged,
            backlog: bucket.contention.backlog(),
        }
    }

    /// Applies the copy of a bucket that the customer's owner has sent to the entry `own`.
    ///
    /// The lower level counts: each side may know of charges that the other does not know yet.
    pub fn apply_copy(&mut self, copy: &QuotaCopy, quota: Quota, own: &EntryName, now: Instant) {
        let bucket = self.bucket(&copy.customer, quota, now);
        let level = bucket.level.min(copy.level);
        for (entry, charged) in &copy.charged {
            if entry != own {
                bucket.record_peer(entry, charged.incarnation, charged.totals, now);
            }
        }
        bucket.level = level;
        bucket.contention.merge_backlog(copy.backlog);
    }

    /// Returns when a charge of a customer was last decided here.
    pub(crate) fn last_decision(&self, customer: &CustomerName) -> Option<Instant> {
        self.buckets.get(customer).and_then(|b| b.decided_at)
    }
}

impl Bucket {
    fn charged_since(&self, since: Option<Instant>) -> IndexMap<EntryName, ChargedTotals> {
        let is_new = |at: Option<Instant>| since.is_none_or(|since| at >= Some(since));
        let used = |peer: &PeerTotal| peer.totals != QuotaTotals::default();
        let peers = self.peers.iter();
        let peers = peers.filter(|(_, p)| used(p) && is_new(p.decided_at));
        let charged = peers.map(|(name, peer)| {
            let charged = ChargedTotals {
                incarnation: peer.incarnation,
                totals: peer.totals,
            };
            (name.clone(), charged)
        });
        charged.collect()
    }
}
