//! Choice of the one entry that decides on a shared matter for all.
//!
//! The owner is chosen by rendezvous hashing, so that entries that know the same members agree on it
//! without coordination, and each entry owns an equal part of the matters.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EntryName;
use crate::Node;

/// Time within which an owner must have answered.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a peer that did not answer is not asked.
pub(crate) const SILENT_PEER_PERIOD: Duration = Duration::from_secs(1);

/// Time after that for which the peer stays suspect unless it answers; a peer that is gone is no
/// longer a member by then.
const SUSPICION_PERIOD: Duration = Duration::from_secs(15);

/// Hash of a matter that one entry owns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnedKey(u64);

impl OwnedKey {
    /// Returns the key of a matter with a name.
    pub(crate) fn new(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }

    fn rank(self, entry: &EntryName) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(entry.as_str().as_bytes(), self.0)
    }
}

/// The entry that owns a matter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// This entry.
    Own,
    /// A peer with its address.
    Peer(EntryName, SocketAddr),
}

/// Returns the candidate with the highest rank for a key; `None` if there is no candidate.
///
/// `own` is this entry's name if it is a candidate.
pub(crate) fn choose_owner<'a>(
    key: OwnedKey,
    own: Option<&EntryName>,
    peers: impl Iterator<Item = (&'a EntryName, SocketAddr)>,
) -> Option<Owner> {
    let best = peers.max_by_key(|(name, _)| key.rank(name));
    let best_rank = best.map(|(name, _)| key.rank(name));
    if own.is_some_and(|own| Some(key.rank(own)) >= best_rank) {
        return Some(Owner::Own);
    }
    best.map(|(name, address)| Owner::Peer(name.clone(), address))
}

/// Whether a peer has answered lately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerAnswers {
    /// The peer has answered, or has not been asked.
    Answering,
    /// The peer was silent and has not answered since, but may be asked again.
    Suspect,
    /// The peer is not asked.
    Silent,
}

/// Candidates for the ownership of a matter.
#[derive(Debug)]
pub(crate) struct RankedOwners {
    /// Candidates that may be asked, in descending order of their rank.
    pub(crate) owners: Vec<Owner>,
    /// Number of candidates that rank before this entry, including silent ones.
    pub(crate) before_own: usize,
}

/// Ranks this entry and its peers for a key and returns at most `count` of those that may be asked.
///
/// Of the suspect peers only the first is returned: asking several of them in turn would use up the
/// time of a request in which a peer that answers could decide.
pub(crate) fn rank_owners<'a>(
    key: OwnedKey,
    own: &EntryName,
    peers: impl Iterator<Item = (&'a EntryName, SocketAddr)>,
    answers: impl Fn(&EntryName) -> PeerAnswers,
    count: usize,
) -> RankedOwners {
    let own_rank = key.rank(own);
    let peers = peers.map(|(name, address)| (key.rank(name), Some((name, address))));
    let mut ranked: Vec<_> = peers.chain([(own_rank, None)]).collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let before_own = ranked.iter().take_while(|(_, p)| p.is_some()).count();
    let mut has_suspect = false;
    let usable = ranked.into_iter().filter(|(_, peer)| {
        let answers = peer.map_or(PeerAnswers::Answering, |(name, _)| answers(name));
        let is_suspect = answers == PeerAnswers::Suspect;
        let is_usable = answers != PeerAnswers::Silent && !(is_suspect && has_suspect);
        has_suspect |= is_suspect;
        is_usable
    });
    let owners = usable.take(count).map(|(_, peer)| match peer {
        None => Owner::Own,
        Some((name, address)) => Owner::Peer(name.clone(), address),
    });
    RankedOwners {
        owners: owners.collect(),
        before_own,
    }
}

/// Peers that did not answer lately.
#[derive(Debug, Default)]
pub(crate) struct SilentPeers {
    silent_until: IndexMap<EntryName, Instant>,
}

impl SilentPeers {
    pub(crate) fn contains(&self, peer: &EntryName, now: Instant) -> bool {
        let until = self.silent_until.get(peer);
        until.is_some_and(|until| now < *until)
    }

    pub(crate) fn answers(&self, peer: &EntryName, now: Instant) -> PeerAnswers {
        match self.silent_until.get(peer) {
            None => PeerAnswers::Answering,
            Some(until) if now < *until => PeerAnswers::Silent,
            Some(_) => PeerAnswers::Suspect,
        }
    }

    /// Records an answer of a peer.
    pub(crate) fn record_answer(&mut self, peer: &EntryName) {
        self.silent_until.swap_remove(peer);
    }

    pub(crate) fn record(&mut self, peer: &EntryName, now: Instant) {
        self.silent_until
            .retain(|_, until| now < *until + SUSPICION_PERIOD);
        self.silent_until
            .insert(peer.clone(), now + SILENT_PEER_PERIOD);
    }
}

impl Node {
    /// Waits for an owner's answer; `None` if it fails or does not come in time.
    pub(crate) async fn answer_of<T>(
        &self,
        owner: &EntryName,
        answer: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        self.answer_within(ASK_TIMEOUT, owner, answer).await
    }

    /// Waits for a peer's answer like [`Self::answer_of`], for at most `timeout`.
    pub(crate) async fn answer_within<T>(
        &self,
        timeout: Duration,
        owner: &EntryName,
        answer: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        let answer = tokio::time::timeout(timeout, answer).await;
        let answer = answer.ok().flatten();
        let mut silent_owners = self.silent_owners.lock();
        if answer.is_none() {
            silent_owners.record(owner, Instant::now());
        } else {
            silent_owners.record_answer(owner);
        }
        drop(silent_owners);
        answer
    }
}
