//! Where a starting entry gets the endpoint list: from a neighbour that has it, or from the store.
//!
//! If every entry read the list from the store after a restart of all, the store's links would be full for
//! many seconds. Two entries of each domain read it then, and the others take copies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::EntryState;
use crate::Feed;
use crate::FeedClient;
use crate::ListCopy;
use crate::Node;
use crate::apply_list_copy;
use crate::feeds::reader_order::READERS_PER_DOMAIN;
use crate::feeds::reader_order::own_key;
use crate::feeds::reader_order::reader_key;
use crate::follow_feed;

/// Time without a copy, from the first question on, after which an entry reads the list from the store; also
/// the time after the start if no peer is found.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of other announced entries below which an entry reads the list at once, as all entries together
/// load the store little.
const MIN_ANNOUNCED: usize = 24;

/// Time after the start from which the order of the entries counts as known although fewer than half of the
/// announced ones are: some may be gone. Earlier, many entries would take themselves for readers.
const ORDER_KNOWN_AFTER: Duration = Duration::from_millis(400);

/// Interval at which peers are asked for a copy.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which another peer is asked although one has not answered; a copy takes 0.08 s on a link of
/// 10 Mbit/s, and three others may be sent before it. Shorter times have copies sent twice.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Number of entries that ask the same entry when all start at once. With three, 75 entries have the list
/// after three generations, each of which takes 0.24 s on links of 10 Mbit/s.
const FAN_OUT: usize = 3;

/// One of this many questions goes to a random entry of any domain instead, as the usual one may be gone or
/// the readers of the domain may be late.
const RANDOM_ASK: usize = 2;

/// What a starting entry knows of its peers.
#[derive(Clone, Copy, Debug)]
pub struct StartView {
    /// Time since the start.
    pub elapsed: Duration,
    /// Time since the first question to a peer.
    pub asking: Option<Duration>,
    /// Number of other entries that have announced themselves, if known.
    pub announced: Option<usize>,
    /// Whether the first search for peers has ended.
    pub is_searched: bool,
    /// Number of live peers.
    pub live: usize,
    /// Number of live peers that accept callers, and so have the list.
    pub ready: usize,
    /// Number of live peers in the entry's domain before it in the order of readers.
    pub rank: usize,
}

/// What a starting entry does next to get the endpoint list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartStep {
    /// Waits for peers to be found.
    Wait,
    /// Asks peers for a copy.
    Ask,
    /// Reads the list from the store.
    Read,
}

/// Returns what a starting entry without the endpoint list does next.
pub fn next_start_step(view: StartView) -> StartStep {
    let is_alone = view.live == 0 && (view.is_searched || view.elapsed >= COPY_TIMEOUT);
    let is_late = view.asking.is_some_and(|time| time >= COPY_TIMEOUT);
    if is_small(view.announced) || is_alone || is_late {
        return StartStep::Read;
    }
    if view.ready > 0 {
        return StartStep::Ask;
    }
    let are_most_known = view.announced.is_some_and(|count| view.live * 2 >= count);
    let is_order_known = view.elapsed >= ORDER_KNOWN_AFTER || are_most_known;
    match is_order_known && view.live > 0 {
        false => StartStep::Wait,
        true if view.rank < READERS_PER_DOMAIN => StartStep::Read,
        true => StartStep::Ask,
    }
}

/// Returns whether so few entries have announced themselves that each reads the list.
fn is_small(announced: Option<usize>) -> bool {
    announced.is_some_and(|count| count < MIN_ANNOUNCED)
}

/// State of the start of an entry.
#[derive(Debug, Default)]
pub struct ListStart(Mutex<StartState>);

#[derive(Debug, Default)]
struct StartState {
    is_copying: bool,
    announced: Option<usize>,
    is_searched: bool,
}

impl ListStart {
    /// Returns whether the entry is about to get a copy of the list, so that gossip need not bring it.
    pub(crate) fn is_copying(&self) -> bool {
        let state = self.0.lock();
        state.is_copying && !is_small(state.announced)
    }

    /// Records the number of other entries that have announced themselves.
    pub fn set_announced(&self, count: usize) {
        self.0.lock().announced = Some(count);
    }

    /// Records that a search for peers has ended.
    pub fn set_searched(&self) {
        self.0.lock().is_searched = true;
    }

    fn set_copying(&self, is_copying: bool) {
        self.0.lock().is_copying = is_copying;
    }
}

/// Gets the endpoint list from a peer if one has it, and follows the list until the process ends.
pub fn follow_list<E: FeedClient>(client: Arc<E>, node: Arc<Node>) -> impl Future<Output = ()> {
    // Before the first exchange with a peer, which would bring the uncompressed list otherwise.
    node.list_start.set_copying(true);
    async move {
        let ask = |address| {
            let node = Arc::clone(&node);
            async move { node.peers.copy_list(address).await }
        };
        copy_list_from_peers(&*client, &node, ask).await;
        node.list_start.set_copying(false);
        follow_feed(client, node, Feed::Endpoints).await;
    }
}

/// Asks peers for a copy of the list until one has been applied or the entry is to read it itself; `ask`
/// asks the peer with an address. Returns whether a copy has been applied.
pub async fn copy_list_from_peers<E, F>(
    client: &E,
    node: &Node,
    ask: impl Fn(SocketAddr) -> F,
) -> bool
where
    E: FeedClient,
    F: Future<Output = Option<ListCopy>>,
{
    let started = Instant::now();
    let mut asks = FuturesUnordered::new();
    let mut asked = 0;
    let mut asking_since = None;
    let mut last_ask = started;
    let mut ticks = tokio::time::interval(ASK_INTERVAL);
    loop {
        tokio::select! {
            Some(copy) = asks.next(), if !asks.is_empty() => {
                let Some(copy) = copy else { continue };
                if apply_list_copy(node, &copy, client.store_era()) {
                    return true;
                }
            }
            _ = ticks.tick() => {
                match next_start_step(start_view(node, started, asking_since)) {
                    StartStep::Read => return false,
                    StartStep::Ask if asks.is_empty() || last_ask.elapsed() >= ANSWER_TIME => {
                        last_ask = Instant::now();
                        asking_since = asking_since.or_else(|| Some(Instant::now()));
                        asked += 1;
                        asks.extend(choose_giver(node, asked).map(&ask));
                    }
                    StartStep::Ask | StartStep::Wait => {}
                }
            }
        }
    }
}

fn start_view(node: &Node, started: Instant, asking_since: Option<Instant>) -> StartView {
    let start = node.list_start.0.lock();
    let (announced, is_searched) = (start.announced, start.is_searched);
    drop(start);
    let own = own_key(node);
    let members = node.members.lock();
    let mut view = StartView {
        elapsed: started.elapsed(),
        asking: asking_since.map(|at| at.elapsed()),
        announced,
        is_searched,
        live: 0,
        ready: 0,
        rank: 0,
    };
    for peer in members.live(Instant::now()) {
        let is_before = reader_key(peer.state.link_mbps, &peer.state.name) < own;
        view.live += 1;
        view.ready += usize::from(peer.state.ready);
        view.rank += usize::from(peer.state.domain == node.settings.domain && is_before);
    }
    view
}

/// Selects the peer for the `asked`-th question: one that is ready, of the entry's domain if there is one;
/// if no peer is, the one from which this entry takes copies in the order of readers, or at times a random one.
fn choose_giver(node: &Node, asked: usize) -> Option<SocketAddr> {
    let mut rng = rand::rng();
    let members = node.members.lock();
    let live: Vec<_> = members.live(Instant::now()).map(|p| &p.state).collect();
    let ready = || live.iter().filter(|s| s.ready);
    let is_near = |s: &&&EntryState| s.domain == node.settings.domain;
    if let Some(state) = ready().filter(is_near).choose(&mut rng) {
        return Some(state.peer_address);
    }
    if let Some(state) = ready().choose(&mut rng) {
        return Some(state.peer_address);
    }
    let mut domain: Vec<_> = live.iter().filter(is_near).collect();
    if asked.is_multiple_of(RANDOM_ASK) {
        return live.choose(&mut rng).map(|s| s.peer_address);
    }
    let key = |s: &EntryState| reader_key(s.link_mbps, &s.name);
    domain.sort_unstable_by_key(|s| key(s));
    let own = own_key(node);
    let rank = domain.partition_point(|s| key(s) < own);
    let giver = domain.get(rank.saturating_sub(READERS_PER_DOMAIN) / FAN_OUT);
    giver.map(|s| s.peer_address)
}
