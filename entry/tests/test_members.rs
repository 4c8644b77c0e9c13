//! Membership: the state that entries exchange, and the clock that they share.

mod testutils;

use std::time::Duration;

use hawthornrack_entry::EntryName;
use hawthornrack_entry::EntryState;
use hawthornrack_entry::GossipRequest;
use hawthornrack_entry::MedianClock;
use hawthornrack_entry::Members;
use hawthornrack_entry::apply_reply;
use hawthornrack_entry::handle_exchange;
use hawthornrack_entry::refresh_interval;
use indexmap::IndexMap;
use rstest::rstest;
use testutils::config;
use testutils::node;
use tokio::time::Instant;

fn new_state(name: &str, sequence: u64) -> EntryState {
    let node = node(config(hawthornrack_entry::RouteKind::Once), 1);
    let mut state = node.own_state();
    state.name = EntryName::from(name);
    state.revision.incarnation = 1;
    state.revision.sequence = sequence;
    state
}

// An entry without recent updates is probably down: callers sent to it would fail.
#[tokio::test(start_paused = true)]
async fn test_members_silent_entry_is_not_live() {
    let mut members = Members::default();
    members.merge(new_state("b", 1), Instant::now());
    assert_eq!(members.live(Instant::now()).count(), 1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(members.live(Instant::now()).count(), 0);
}

// Guards against a dead entry coming back: it was removed, learnt again from a peer that still
// had its last state, and announced to callers.
#[tokio::test(start_paused = true)]
async fn test_members_removed_entry_ignores_its_old_state() {
    let mut members = Members::default();
    members.merge(new_state("b", 1), Instant::now());
    tokio::time::sleep(Duration::from_secs(31)).await;
    let now = Instant::now();
    assert_eq!(members.remove_silent(now), [EntryName::from("b")]);
    assert!(!members.merge(new_state("b", 1), now));
    assert!(
        members.merge(new_state("b", 2), now),
        "a newer state restores the entry"
    );
}

// The last state of a silent entry must not be relayed to peers.
#[tokio::test(start_paused = true)]
async fn test_members_silent_entry_is_not_forwarded() {
    let mut members = Members::default();
    members.merge(new_state("b", 1), Instant::now());
    tokio::time::sleep(Duration::from_secs(5)).await;
    let relayed = members.newer_than(&IndexMap::new(), Instant::now());
    assert!(relayed.is_empty());
}

// Guards against announcing a dead entry to callers: an entry that had been down for 6 s stayed
// live, since each peer that relayed its last state counted the receipt as a sign of life.
#[tokio::test(start_paused = true)]
async fn test_members_relayed_state_keeps_its_publication_time() {
    let digest = IndexMap::new();
    let mut chain: Vec<Members> = (0..4).map(|_| Members::default()).collect();
    chain[0].merge(new_state("b", 1), Instant::now());
    for at in 1..chain.len() {
        tokio::time::sleep(Duration::from_millis(900)).await;
        let now = Instant::now();
        for relayed in chain[at - 1].newer_than(&digest, now) {
            let updated_at = relayed.updated_at(now);
            chain[at].merge(relayed.state, updated_at);
        }
    }
    let now = Instant::now();
    assert!(chain.iter().all(|members| members.live(now).count() == 0));
}

// A restarted entry must become ready from a peer's configuration and endpoint list, without
// reading them from the store itself.
#[tokio::test(start_paused = true)]
async fn test_members_exchange_transfers_configuration_and_endpoints() {
    let informed = node(config(hawthornrack_entry::RouteKind::Once), 3);
    let mut settings = testutils::settings("entry-2");
    settings.first_start = false;
    let joining = hawthornrack_entry::Node::new(settings, informed.metrics.clone());
    assert!(!joining.is_ready());
    let exchange = GossipRequest {
        own: joining.own_state(),
        digest: IndexMap::new(),
        has_endpoints: false,
    };
    apply_reply(&joining, handle_exchange(&informed, exchange));
    assert!(joining.is_ready());
    assert_eq!(joining.config().unwrap().version, 1);
    assert_eq!(joining.entry_count(), 2);
    assert_eq!(informed.entry_count(), 2);
}

// Guards against links that are busy with copies of a configuration: an entry's state is built once
// per refresh interval and named an older version, so that each peer sent the newer one again.
#[tokio::test(start_paused = true)]
async fn test_members_exchange_sends_no_configuration_that_the_entry_has() {
    let kind = hawthornrack_entry::RouteKind::Once;
    let (informed, asking) = (node(config(kind), 1), node(config(kind), 1));
    asking.own_state();
    let mut newer = config(kind);
    newer.version = 5;
    for node in [&informed, &asking] {
        assert!(node.apply_config(newer.clone(), "test"));
    }
    let exchange = GossipRequest {
        own: asking.own_state(),
        digest: IndexMap::new(),
        has_endpoints: true,
    };
    assert_eq!(handle_exchange(&informed, exchange).config, None);
}

// A delayed update must not replace a newer configuration.
#[tokio::test(start_paused = true)]
async fn test_members_configuration_ignores_older_versions() {
    let node = node(config(hawthornrack_entry::RouteKind::Once), 1);
    let mut newer = config(hawthornrack_entry::RouteKind::Once);
    newer.version = 5;
    assert!(node.apply_config(newer, "test"));
    assert!(!node.apply_config(config(hawthornrack_entry::RouteKind::Once), "test"));
    assert_eq!(node.config().unwrap().version, 5);
}

// With a fixed interval, the rate of updates that an entry receives would grow with the number of
// entries.
#[rstest]
#[case(8, 300)]
#[case(88, 1320)]
#[case(370, 4000)]
fn test_members_refresh_interval_grows_with_system_size(#[case] entries: usize, #[case] ms: u64) {
    assert_eq!(refresh_interval(entries), Duration::from_millis(ms));
}

// A jump of one VM's wall clock must not move the time that this entry derives from all clocks.
#[test]
fn test_members_median_clock_ignores_a_clock_that_jumps() {
    let mut clock = MedianClock::default();
    clock.record_own(1_000_000, 0);
    for (peer, wall) in [("b", 1_000_005), ("c", 999_990), ("d", 1_002_400)] {
        clock.record_peer(&EntryName::from(peer), wall, 0);
    }
    assert!(clock.wall_ms_at(1_000).abs_diff(1_001_000) < 50);
    // The local clock jumps back by 2.4 s.
    clock.record_own(1_000_000 + 2_000 - 2_400, 2_000);
    assert!(clock.wall_ms_at(3_000).abs_diff(1_003_000) < 50);
}

// Guards against sending requests to a removed endpoint: an entry's long poll of the endpoint
// list got no response when the endpoint was removed, and no peer informed the entry.
#[tokio::test(start_paused = true)]
async fn test_members_entry_learns_of_a_removed_endpoint_from_a_peer() {
    let kind = hawthornrack_entry::RouteKind::Once;
    let (receiver, sender) = (node(config(kind), 3), node(config(kind), 3));
    let id = hawthornrack_entry::EndpointId::from("e1");
    sender.endpoints.lock().remove(&id, Instant::now());
    let mut state = sender.own_state();
    state.name = EntryName::from("entry-2");
    let exchange = GossipRequest {
        own: state,
        digest: IndexMap::new(),
        has_endpoints: true,
    };
    handle_exchange(&receiver, exchange);
    let service = hawthornrack_entry::ServiceName::from("desk");
    let count = || {
        receiver
            .endpoints
            .lock()
            .candidates(&service, Instant::now())
            .count()
    };
    assert_eq!(count(), 2);
    // A newer record than the one that the peer saw removed restores the endpoint.
    let mut relisted = testutils::endpoint("e1");
    relisted.sequence = 2;
    receiver.endpoints.lock().apply(relisted, Instant::now());
    assert_eq!(count(), 3);
}

// Guards against usage reports that lack requests: counts that a peer delivered directly must not
// be replaced by those of a state that was built before, and must not be added to it.
#[tokio::test(start_paused = true)]
async fn test_members_delivered_usage_is_kept_and_counted_once() {
    let customer = hawthornrack_entry::CustomerName::from("kanem");
    let window = hawthornrack_entry::WindowIndex(7);
    let usage = |count| {
        let mut usage = hawthornrack_entry::Usage::default();
        for _ in 0..count {
            usage.record(window, &customer);
        }
        usage
    };
    let mut members = Members::default();
    members.merge(new_state("b", 1), Instant::now());
    let incarnation = new_state("b", 1).revision.incarnation;
    let delivery = |incarnation, count| hawthornrack_entry::UsageDelivery {
        entry: EntryName::from("b"),
        incarnation,
        usage: usage(count),
    };
    members.record_usage(&delivery(incarnation, 5));
    members.record_usage(&delivery(incarnation + 1, 90));
    let mut older = new_state("b", 2);
    older.usage = usage(3);
    members.merge(older, Instant::now());
    let mut sum = hawthornrack_entry::UsageCounts::new();
    members.add_usage(window, &mut sum);
    assert_eq!(sum[&customer], 5);
}

// Guards against an endpoint that stays out of use after a restart under its old id: peers that did
// not know of the restart yet kept reporting that it was draining.
#[tokio::test(start_paused = true)]
async fn test_members_draining_of_an_earlier_incarnation_does_not_mark_a_restarted_endpoint() {
    let kind = hawthornrack_entry::RouteKind::Once;
    let (receiver, sender) = (node(config(kind), 2), node(config(kind), 2));
    let id = hawthornrack_entry::EndpointId::from("e1");
    sender.endpoints.lock().mark_draining(&id);
    let mut restarted = testutils::endpoint("e1");
    restarted.incarnation += 1;
    receiver.endpoints.lock().apply(restarted, Instant::now());
    let mut state = sender.own_state();
    state.name = EntryName::from("entry-2");
    let exchange = GossipRequest {
        own: state,
        digest: IndexMap::new(),
        has_endpoints: true,
    };
    handle_exchange(&receiver, exchange);
    let service = hawthornrack_entry::ServiceName::from("desk");
    let endpoints = receiver.endpoints.lock();
    assert_eq!(endpoints.candidates(&service, Instant::now()).count(), 2);
}

// Guards against forgetting live entries of a large system, whose states arrive many seconds old:
// the shares of quotas and the usage of a forgotten entry are lost until it is learnt again.
#[tokio::test(start_paused = true)]
async fn test_members_removal_waits_longer_in_a_large_system() {
    let mut members = Members::default();
    for number in 0..300 {
        members.merge(new_state(&format!("e{number}"), 1), Instant::now());
    }
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert!(members.remove_silent(Instant::now()).is_empty());
    tokio::time::sleep(Duration::from_secs(15)).await;
    assert_eq!(members.remove_silent(Instant::now()).len(), 300);
}
