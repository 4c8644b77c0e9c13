//! Order in which the entries that may decide on a charge are asked.
//!
//! The entries that may decide are ranked by hash: the owner, the standby and the third. An entry
//! that is asked although it knows of a higher-ranked one passes the request on to that one first,
//! so that the decisions for entries that are cut off only from the owner are still made in one
//! place.

use std::net::SocketAddr;

use crate::EntryName;
use crate::peers::owner::OwnedKey;
use crate::peers::owner::Owner;
use crate::peers::owner::PeerAnswers;
use crate::peers::owner::rank_owners;

/// Number of entries that may decide on a customer's charges.
pub(crate) const RANKS: usize = 3;

/// What to do next to have a charge decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaStep {
    /// Ask the peer, and take the next step if it does not answer.
    Ask(EntryName, SocketAddr),
    /// Decide with this entry's bucket.
    Decide,
    /// Decide within this entry's equal share of the quota.
    DecideShare,
}

/// Contact of an entry with its peers, as far as it matters for its own requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaContact {
    /// No contact with any peer.
    Isolated,
    /// Contact with peers.
    Connected,
    /// Peers have had charges of the customer decided here lately.
    AskedByPeers,
}

/// Steps to have one charge decided, in the order in which they are taken.
#[derive(Clone, Debug)]
pub struct QuotaRoute {
    steps: std::vec::IntoIter<QuotaStep>,
}

impl QuotaRoute {
    /// Returns the steps for a request of a caller.
    ///
    /// `peers` are the ready entries. An entry that ranks below the third decides with its bucket
    /// only if `contact` says that peers ask it: that the others are silent may also mean that this
    /// entry is cut off.
    pub fn for_caller<'a>(
        customer: &str,
        own: &EntryName,
        peers: impl Iterator<Item = (&'a EntryName, SocketAddr)>,
        answers: impl Fn(&EntryName) -> PeerAnswers,
        contact: QuotaContact,
    ) -> Self {
        if contact == QuotaContact::Isolated {
            return Self::new(vec![QuotaStep::DecideShare]);
        }
        let ranked = rank_owners(OwnedKey::new(customer), own, peers, answers, RANKS);
        let own_step = if ranked.before_own < RANKS || contact == QuotaContact::AskedByPeers {
            QuotaStep::Decide
        } else {
            QuotaStep::DecideShare
        };
        Self::new(steps_until_own(
            ranked.owners,
            own_step,
            QuotaStep::DecideShare,
        ))
    }

    /// Returns the steps for a request that a peer has asked this entry to decide.
    ///
    /// This entry decides in the end even if others rank higher: the peer has not reached them.
    /// A request that the peer has passed on for another entry is decided at once, so that no
    /// request circulates among entries that know different members.
    pub fn for_peer<'a>(
        customer: &str,
        own: &EntryName,
        peers: impl Iterator<Item = (&'a EntryName, SocketAddr)>,
        answers: impl Fn(&EntryName) -> PeerAnswers,
        is_passed_on: bool,
    ) -> Self {
        if is_passed_on {
            return Self::new(vec![QuotaStep::Decide]);
        }
        let ranked = rank_owners(OwnedKey::new(customer), own, peers, answers, RANKS - 1);
        let steps = steps_until_own(ranked.owners, QuotaStep::Decide, QuotaStep::Decide);
        Self::new(steps)
    }

    fn new(steps: Vec<QuotaStep>) -> Self {
        Self {
            steps: steps.into_iter(),
        }
    }
}

impl Iterator for QuotaRoute {
    type Item = QuotaStep;

    fn next(&mut self) -> Option<QuotaStep> {
        self.steps.next()
    }
}

/// Returns the steps that ask the peers ranked before this entry and then decide, by `last` if this
/// entry is not among the ranked ones.
fn steps_until_own(ranked: Vec<Owner>, own_step: QuotaStep, last: QuotaStep) -> Vec<QuotaStep> {
    let mut steps = Vec::new();
    for owner in ranked {
        match owner {
            Owner::Own => {
                steps.push(own_step);
                return steps;
            }
            Owner::Peer(name, address) => steps.push(QuotaStep::Ask(name, address)),
        }
    }
    steps.push(last);
    steps
}

/// Returns the peers that take over a customer's quota if this entry fails, in their order; empty
/// if another entry that answers ranks higher.
pub fn quota_standbys<'a>(
    customer: &str,
    own: &EntryName,
    peers: impl Iterator<Item = (&'a EntryName, SocketAddr)>,
    answers: impl Fn(&EntryName) -> PeerAnswers,
) -> Vec<(EntryName, SocketAddr)> {
    let owners = rank_owners(OwnedKey::new(customer), own, peers, answers, RANKS).owners;
    if owners.first() != Some(&Owner::Own) {
        return Vec::new();
    }
    let peers = owners.into_iter().filter_map(|owner| match owner {
        Owner::Own => None,
        Owner::Peer(name, address) => Some((name, address)),
    });
    peers.collect()
}
