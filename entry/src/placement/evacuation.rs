//! Failure domains that the operator has evacuated: no request is sent to their endpoints.
//!
//! The set of evacuated domains is known as of a position in the feed of operators' orders, and the
//! set as of the later position replaces the other as a whole. Entries can therefore pass it on in
//! any order and any number of times.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::Endpoint;
use crate::EndpointTable;
use crate::EntryName;
use crate::Node;

/// The evacuated domains as of a position in the feed of operators' orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// Position in the feed, as [`crate::StoreEra::number`] returns it; 0 if nothing is known.
    pub as_of: u64,
    /// Evacuated domains.
    pub domains: BTreeSet<DomainName>,
}

/// A domain whose evacuation begins or ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Domain that is evacuated, or no longer is.
    pub domain: DomainName,
    /// Whether the domain is evacuated now.
    pub is_active: bool,
}

impl Evacuations {
    /// Returns whether nothing is known.
    pub fn is_unknown(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &DomainName) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the set after an order that starts or ends the evacuation of a domain, as of the
    /// position after the order.
    #[must_use]
    pub fn after_order(&self, domain: DomainName, is_active: bool, as_of: u64) -> Self {
        let mut domains = self.domains.clone();
        if is_active {
            domains.insert(domain);
        } else {
            domains.remove(&domain);
        }
        Self { as_of, domains }
    }

    /// Replaces the set by one as of a later position; returns the domains that differ. A set that is
    /// not later has no effect.
    pub fn merge(&mut self, other: &Self) -> Vec<EvacuationChange> {
        if other.as_of <= self.as_of {
            return Vec::new();
        }
        let differing = self.domains.symmetric_difference(&other.domains);
        let changes = differing.map(|domain| EvacuationChange {
            domain: domain.clone(),
            is_active: other.contains(domain),
        });
        let changes = changes.collect();
        self.clone_from(other);
        changes
    }
}

impl EndpointTable {
    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Replaces the evacuated domains by those as of a later position, as [`Evacuations::merge`].
    pub(crate) fn merge_evacuations(&mut self, other: &Evacuations) -> Vec<EvacuationChange> {
        self.evacuations.merge(other)
    }

    /// Returns whether an endpoint is in an evacuated failure domain.
    pub(crate) fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuations.contains(&endpoint.record.domain)
    }
}

/// Where an entry has learnt of evacuations.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EvacuationSource<'a> {
    /// From the store.
    Store,
    /// From a peer, with its name if known.
    Peer(Option<&'a EntryName>),
}

impl EvacuationSource<'_> {
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer(_) => "peer",
        }
    }

    fn peer(&self) -> Option<&str> {
        match self {
            Self::Peer(Some(name)) => Some(name.as_str()),
            Self::Peer(None) | Self::Store => None,
        }
    }
}

/// Applies an order that starts or ends the evacuation of a domain, as of the position after it.
pub(crate) fn apply_evacuation_order(node: &Node, domain: DomainName, is_active: bool, as_of: u64) {
    let known = node.endpoints.lock().evacuations().clone();
    // The known set may already contain this order and later ones, which a peer has passed on.
    if as_of > known.as_of {
        let evacuations = known.after_order(domain, is_active, as_of);
        apply_evacuations(node, &evacuations, EvacuationSource::Store);
    }
}

/// Applies a set of evacuated domains unless the known one is as of the same position or a later one.
///
/// A change is logged, announced to peers and lets waiting requests choose again.
pub(crate) fn apply_evacuations(
    node: &Node,
    evacuations: &Evacuations,
    source: EvacuationSource<'_>,
) {
    let changes = node.endpoints.lock().merge_evacuations(evacuations);
    if changes.is_empty() {
        return;
    }
    for change in changes {
        tracing::info!(
            event = "evacuation",
            domain = %change.domain,
            active = change.is_active,
            as_of = evacuations.as_of,
            source = source.name(),
            peer = source.peer(),
        );
    }
    *node.is_evacuation_unannounced.lock() = true;
    node.invalidate_state();
    node.news_added.notify_one();
    node.slot_freed.notify_waiters();
}
