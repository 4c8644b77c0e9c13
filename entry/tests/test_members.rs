//! What entries know of each other.

mod testutils;

use std::time::Duration;

use hawthornrack_entry::EntryName;
use hawthornrack_entry::EntryState;
use hawthornrack_entry::Exchange;
use hawthornrack_entry::Members;
use hawthornrack_entry::TrueTime;
use hawthornrack_entry::answer;
use hawthornrack_entry::refresh_interval;
use hawthornrack_entry::take;
use indexmap::IndexMap;
use rstest::rstest;
use testutils::config;
use testutils::node;
use tokio::time::Instant;

fn state(name: &str, sequence: u64) -> EntryState {
    let node = node(config(hawthornrack_entry::CallKind::Once), 1);
    let mut state = node.own_state();
    state.name = EntryName::from(name);
    state.age.incarnation = 1;
    state.age.sequence = sequence;
    state
}

#[tokio::test(start_paused = true)]
async fn test_members_silent_entry_is_not_named_to_callers() {
    let mut members = Members::default();
    members.merge(state("b", 1), Instant::now());
    assert_eq!(members.live(Instant::now()).count(), 1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(members.live(Instant::now()).count(), 0);
}

// Found by a hunt on Kanem (mix --seed 245218320084): an entry that was gone for good was
// forgotten, learnt again from a peer that still knew it, and named to callers.
#[tokio::test(start_paused = true)]
async fn test_members_forgotten_entry_stays_forgotten() {
    let mut members = Members::default();
    members.merge(state("b", 1), Instant::now());
    tokio::time::sleep(Duration::from_secs(31)).await;
    let now = Instant::now();
    assert_eq!(members.forget_silent(now), [EntryName::from("b")]);
    assert!(!members.merge(state("b", 1), now));
    assert!(members.merge(state("b", 2), now), "it lives");
}

#[tokio::test(start_paused = true)]
async fn test_members_silent_entry_is_not_passed_on() {
    let mut members = Members::default();
    members.merge(state("b", 1), Instant::now());
    tokio::time::sleep(Duration::from_secs(5)).await;
    let news = members.newer_than(&IndexMap::new(), Instant::now());
    assert!(news.is_empty());
}

// Found by a drawn day of Kanem (fresh-08e7): an entry that had been gone for 6 s was named to
// callers, since each relay of its last state took that for a sign of life.
#[tokio::test(start_paused = true)]
async fn test_members_relayed_state_is_as_old_as_its_news() {
    let digest = IndexMap::new();
    let mut chain: Vec<Members> = (0..4).map(|_| Members::default()).collect();
    chain[0].merge(state("b", 1), Instant::now());
    for at in 1..chain.len() {
        tokio::time::sleep(Duration::from_millis(900)).await;
        let now = Instant::now();
        for relayed in chain[at - 1].newer_than(&digest, now) {
            let heard = relayed.heard(now);
            chain[at].merge(relayed.state, heard);
        }
    }
    let now = Instant::now();
    assert!(chain.iter().all(|members| members.live(now).count() == 0));
}

#[tokio::test(start_paused = true)]
async fn test_members_exchange_passes_configuration_and_endpoints_on() {
    let knowing = node(config(hawthornrack_entry::CallKind::Once), 3);
    let mut settings = testutils::settings("entry-2");
    settings.first_start = false;
    let new = hawthornrack_entry::Node::new(settings, knowing.metrics.clone());
    assert!(!new.is_ready());
    let exchange = Exchange {
        own: new.own_state(),
        digest: IndexMap::new(),
        has_endpoints: false,
    };
    take(&new, answer(&knowing, exchange));
    assert!(new.is_ready());
    assert_eq!(new.config().unwrap().version, 1);
    assert_eq!(new.entry_count(), 2);
    assert_eq!(knowing.entry_count(), 2);
}

#[tokio::test(start_paused = true)]
async fn test_members_configuration_never_goes_back() {
    let node = node(config(hawthornrack_entry::CallKind::Once), 1);
    let mut newer = config(hawthornrack_entry::CallKind::Once);
    newer.version = 5;
    assert!(node.apply_config(newer, "test"));
    assert!(!node.apply_config(config(hawthornrack_entry::CallKind::Once), "test"));
    assert_eq!(node.config().unwrap().version, 5);
}

#[rstest]
#[case(8, 300)]
#[case(88, 1320)]
#[case(370, 4000)]
fn test_members_refresh_grows_with_the_system(#[case] entries: usize, #[case] ms: u64) {
    assert_eq!(refresh_interval(entries), Duration::from_millis(ms));
}

#[test]
fn test_members_true_time_does_not_follow_a_clock_that_jumps() {
    let mut time = TrueTime::default();
    time.note_own(1_000_000, 0);
    for (peer, wall) in [("b", 1_000_005), ("c", 999_990), ("d", 1_002_400)] {
        time.note_peer(&EntryName::from(peer), wall, 0);
    }
    assert!(time.at(1_000).abs_diff(1_001_000) < 50);
    // The own clock jumps back by 2.4 s.
    time.note_own(1_000_000 + 2_000 - 2_400, 2_000);
    assert!(time.at(3_000).abs_diff(1_003_000) < 50);
}

// Found by a hunt on Balatonszel (trouble-3 --seed 97970131606): an entry's long read of the list
// was not answered when an endpoint was dropped, and no peer told it.
#[tokio::test(start_paused = true)]
async fn test_members_entry_learns_of_a_dropped_endpoint_from_a_peer() {
    let kind = hawthornrack_entry::CallKind::Once;
    let (told, telling) = (node(config(kind), 3), node(config(kind), 3));
    let id = hawthornrack_entry::EndpointId::from("e1");
    telling.endpoints.lock().remove(&id, Instant::now());
    let mut state = telling.own_state();
    state.name = EntryName::from("entry-2");
    let exchange = Exchange {
        own: state,
        digest: IndexMap::new(),
        has_endpoints: true,
    };
    answer(&told, exchange);
    let service = hawthornrack_entry::ServiceName::from("desk");
    let count = || {
        told.endpoints
            .lock()
            .candidates(&service, Instant::now())
            .count()
    };
    assert_eq!(count(), 2);
    // Its own entry, newer than what the peer saw, brings it back.
    let mut back = testutils::endpoint("e1");
    back.sequence = 2;
    told.endpoints.lock().apply(back);
    assert_eq!(count(), 3);
}
