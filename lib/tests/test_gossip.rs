//! Tests of the merge rules, digests and transmissions of gossiped facts.

use std::net::SocketAddr;

use hawthornrack_lib::Counters;
use hawthornrack_lib::CrashFact;
use hawthornrack_lib::EVIDENCE_WINDOW_MS;
use hawthornrack_lib::EvidenceFact;
use hawthornrack_lib::EvidenceKey;
use hawthornrack_lib::Fact;
use hawthornrack_lib::FactStore;
use hawthornrack_lib::GateFact;
use hawthornrack_lib::GateInfo;
use hawthornrack_lib::LeavingFact;
use hawthornrack_lib::LiveDelta;
use hawthornrack_lib::LiveView;
use hawthornrack_lib::MemberFact;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::NodeName;
use hawthornrack_lib::Origin;
use hawthornrack_lib::Stamp;
use hawthornrack_lib::Stop;
use hawthornrack_lib::StopFact;
use hawthornrack_lib::Timestamp;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prop_assert_eq;
use proptest::proptest;

const NOW: Timestamp = Timestamp(1_000_000_000);

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err: std::fmt::Debug>,
{
    text.parse().expect("name should be valid")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Names of nodes, VMs and moves, few enough for facts to collide.
fn short_names() -> impl Strategy<Value = String> {
    prop_oneof![Just("a"), Just("b")].prop_map(String::from)
}

fn times() -> impl Strategy<Value = Timestamp> {
    (0..4_u64).prop_map(|ms| Timestamp(NOW.0 + ms))
}

fn states() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ]
}

fn members() -> impl Strategy<Value = Fact> {
    (short_names(), 0..3_u64, states(), times(), 1..3_u16).prop_map(
        |(node, incarnation, state, since, port)| {
            Fact::Member(member(&node, incarnation, state, since, port))
        },
    )
}

fn member(
    node: &str,
    incarnation: u64,
    state: MemberState,
    since: Timestamp,
    port: u16,
) -> MemberFact {
    MemberFact {
        node: name(node),
        incarnation,
        state,
        since,
        domain: name("north"),
        region: name("plateau"),
        vm: name(&format!("vm-{node}")),
        controller: address(port),
    }
}

fn gates() -> impl Strategy<Value = Fact> {
    let info = (any::<bool>(), 0..2_u32).prop_map(|(accepting, load)| GateInfo {
        callers: address(1),
        rpc: address(2),
        accepting,
        load,
    });
    let info = proptest::option::of(info);
    (short_names(), 0..2_u64, 0..3_u64, short_names(), info).prop_map(
        |(node, started, seq, controller_node, info)| {
            Fact::Gate(gate(&node, started, seq, &controller_node, info))
        },
    )
}

fn gate(
    node: &str,
    started: u64,
    seq: u64,
    controller_node: &str,
    info: Option<GateInfo>,
) -> GateFact {
    GateFact {
        node: name(node),
        stamp: Stamp {
            started_at: Timestamp(started),
            seq,
        },
        controller_node: name(controller_node),
        at: NOW,
        info,
        domain: name("north"),
        region: name("plateau"),
        vm: name(&format!("vm-{node}")),
    }
}

fn evidence() -> impl Strategy<Value = Fact> {
    let counts = (
        0..4_u64,
        0..4_u64,
        proptest::collection::vec(0..3_u64, 0..3),
    );
    (short_names(), 0..2_u64, counts).prop_map(|(node, age, (ok, failed, latency))| {
        Fact::Evidence(EvidenceFact {
            origin: origin(&node),
            key: evidence_key(NOW.0 / EVIDENCE_WINDOW_MS - age),
            counters: Counters {
                ok,
                failed,
                latency,
            },
        })
    })
}

fn origin(node: &str) -> Origin {
    Origin {
        node: name(node),
        started_at: Timestamp(1),
    }
}

fn evidence_key(window: u64) -> EvidenceKey {
    EvidenceKey {
        service: name("tutor-llm"),
        version: name("v2"),
        route: String::from("ask"),
        window,
    }
}

fn crashes() -> impl Strategy<Value = Fact> {
    (short_names(), 0..2_u64, 0..3_u32, times()).prop_map(|(node, digest, count, at)| {
        Fact::Crash(CrashFact {
            origin: origin(&node),
            digest,
            count,
            at,
        })
    })
}

fn leaving() -> impl Strategy<Value = Fact> {
    (short_names(), times()).prop_map(|(vm, deadline)| {
        Fact::Leaving(LeavingFact {
            vm: name(&vm),
            deadline,
        })
    })
}

fn stops() -> impl Strategy<Value = Fact> {
    (short_names(), times(), short_names()).prop_map(|(move_name, at, reason)| {
        Fact::Stop(StopFact {
            move_name: name(&move_name),
            stop: Stop { reason, at },
        })
    })
}

fn facts() -> impl Strategy<Value = Fact> {
    prop_oneof![
        members(),
        gates(),
        evidence(),
        crashes(),
        leaving(),
        stops()
    ]
}

fn store_of(facts: &[Fact]) -> FactStore {
    let mut store = FactStore::default();
    for fact in facts {
        store.merge(fact.clone(), NOW);
    }
    store
}

/// Returns the store's view with maps and evidence sorted by key.
fn sorted_view(store: &FactStore) -> LiveView {
    let mut view = store.view();
    view.leaving.sort_unstable_keys();
    view.stops.sort_unstable_keys();
    view.crashes.sort_unstable_keys();
    view.evidence.sort_by(|a, b| a.key.cmp(&b.key));
    view
}

proptest! {
    /// Guards against stores that diverge because messages were reordered or delivered twice:
    /// merges each set of facts once in order, and once shuffled with every fact repeated.
    #[test]
    fn test_gossip_merge_ignores_order_and_duplicates(
        (first, second) in proptest::collection::vec(facts(), 0..24)
            .prop_flat_map(|facts| {
                let repeated: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
                (Just(facts), Just(repeated).prop_shuffle())
            })
    ) {
        let (a, b) = (store_of(&first), store_of(&second));
        prop_assert_eq!(sorted_view(&a), sorted_view(&b));
        // Digests leave out evidence windows in their first 5 s.
        let later = Timestamp(NOW.0 + 10_000);
        prop_assert_eq!(a.digests(later), b.digests(later));
    }

    /// Guards against stores that diverge because a relaying node had already merged some facts:
    /// merges three sets of facts, once the first two before the third, and once the last two
    /// before the first.
    #[test]
    fn test_gossip_merge_is_associative(
        (a, b, c) in (proptest::collection::vec(facts(), 0..8),
            proptest::collection::vec(facts(), 0..8),
            proptest::collection::vec(facts(), 0..8))
    ) {
        let merged = |left: &[Fact], right: &[Fact]| -> Vec<Fact> {
            let both: Vec<Fact> = left.iter().chain(right).cloned().collect();
            let mut store = store_of(&both);
            // Every stored fact is queued for transmission, so this returns all of them.
            store.take_pending(usize::MAX)
        };
        let left_first = merged(&merged(&a, &b), &c);
        let right_first = merged(&a, &merged(&b, &c));
        prop_assert_eq!(
            sorted_view(&store_of(&left_first)),
            sorted_view(&store_of(&right_first))
        );
    }

    /// Guards against digest exchanges that leave two stores different: exchanges the facts of the
    /// differing buckets once between two stores filled independently.
    #[test]
    fn test_gossip_digest_exchange_makes_stores_equal(
        (a, b) in (proptest::collection::vec(facts(), 0..16),
            proptest::collection::vec(facts(), 0..16))
    ) {
        // Digests leave out evidence windows in their first 5 s.
        let later = Timestamp(NOW.0 + 10_000);
        let (mut left, mut right) = (store_of(&a), store_of(&b));
        let to_left = right.differing_facts(&left.digests(later), later);
        let to_right = left.differing_facts(&right.digests(later), later);
        for fact in to_left {
            left.merge(fact, later);
        }
        for fact in to_right {
            right.merge(fact, later);
        }
        prop_assert_eq!(left.digests(later), right.digests(later));
        prop_assert_eq!(sorted_view(&left), sorted_view(&right));
    }

    /// Guards against gates whose view drifts from their controller's: applies the deltas between
    /// successive views and compares the result with the final view.
    #[test]
    fn test_gossip_applied_deltas_reproduce_view(
        steps in proptest::collection::vec(proptest::collection::vec(facts(), 0..6), 1..5)
    ) {
        let mut store = FactStore::default();
        let mut sent: Option<LiveView> = None;
        let mut received = LiveView::default();
        for step in steps {
            for fact in step {
                store.merge(fact, NOW);
            }
            let view = store.view();
            received.apply(LiveDelta::between(sent.as_ref(), &view));
            sent = Some(view);
        }
        received.evidence.sort_by(|a, b| a.key.cmp(&b.key));
        let mut expected = store.view();
        expected.evidence.sort_by(|a, b| a.key.cmp(&b.key));
        prop_assert_eq!(received, expected);
    }
}

/// Guards against a gate that is shown as detached although it has switched to another controller:
/// the end of its old link is reported after the new link was opened.
#[test]
fn test_gossip_end_of_old_link_keeps_newer_link() {
    let info = Some(GateInfo {
        callers: address(1),
        rpc: address(2),
        accepting: true,
        load: 0,
    });
    let mut store = store_of(&[
        Fact::Member(member("a", 1, MemberState::Dead, NOW, 1)),
        Fact::Member(member("b", 1, MemberState::Alive, NOW, 2)),
        Fact::Gate(gate("a", 1, 1, "a", info.clone())),
    ]);
    assert!(
        store.view().members[&name::<NodeName>("a")].gate.is_none(),
        "the controller of its link is dead"
    );
    store.merge(Fact::Gate(gate("a", 1, 2, "b", info.clone())), NOW);
    store.merge(Fact::Gate(gate("a", 1, 1, "a", None)), NOW);
    assert_eq!(store.view().members[&name::<NodeName>("a")].gate, info);
}

/// Guards against a restarted member that stays dead: a late fact declares its previous
/// incarnation dead and must not replace the newer incarnation.
#[test]
fn test_gossip_restarted_member_supersedes_previous_incarnation() {
    let store = store_of(&[
        Fact::Member(member("a", 7, MemberState::Alive, NOW, 2)),
        Fact::Member(member("a", 5, MemberState::Dead, NOW, 1)),
    ]);
    let view = store.view();
    assert_eq!(
        view.members[&name::<NodeName>("a")].state,
        MemberState::Alive
    );
    assert_eq!(view.members[&name::<NodeName>("a")].controller, address(2));
}

/// Guards against new requests being sent to a VM with a reclaim notice: the gate's own fact still
/// says that it accepts requests, and the view must not.
#[test]
fn test_gossip_gate_on_leaving_vm_is_not_accepting() {
    let info = GateInfo {
        callers: address(1),
        rpc: address(2),
        accepting: true,
        load: 0,
    };
    let store = store_of(&[
        Fact::Member(member("a", 1, MemberState::Alive, NOW, 1)),
        Fact::Gate(gate("a", 1, 1, "a", Some(info))),
        Fact::Leaving(LeavingFact {
            vm: name("vm-a"),
            deadline: NOW,
        }),
    ]);
    let view = store.view();
    assert_eq!(
        view.members[&name::<NodeName>("a")].state,
        MemberState::Leaving
    );
    let gate = view.members[&name::<NodeName>("a")]
        .gate
        .as_ref()
        .expect("gate should still be attached");
    assert!(!gate.accepting);
}

/// Guards against expired evidence that nodes keep sending to each other: a window that one node
/// has pruned arrives again from another.
#[test]
fn test_gossip_expired_windows_are_pruned_and_rejected() {
    let fact = Fact::Evidence(EvidenceFact {
        origin: origin("a"),
        key: evidence_key(NOW.0 / EVIDENCE_WINDOW_MS),
        counters: Counters {
            ok: 3,
            failed: 0,
            latency: vec![3],
        },
    });
    let mut store = store_of(std::slice::from_ref(&fact));
    assert_eq!(store.view().evidence[0].sum.ok, 3);
    // Beyond the retention of 60 s, counted from the start of the evidence window.
    let later = Timestamp(NOW.0 + 62_000);
    assert!(store.prune(later));
    assert!(store.view().evidence.is_empty());
    assert!(!store.merge(fact, later));
}

/// Guards against changes that are sent too rarely to reach all members, or so often that they
/// load the network: the number of transmissions must grow with the logarithm of the members.
#[test]
fn test_gossip_transmissions_grow_logarithmically_with_members() {
    // Three transmissions of a change for each binary digit of the member count.
    for (members, sends) in [(1, 3), (8, 12), (370, 27)] {
        let facts: Vec<Fact> = (0..members)
            .map(|i| {
                let node = format!("n{i}");
                Fact::Member(member(&node, 1, MemberState::Alive, NOW, 1))
            })
            .collect();
        let mut store = store_of(&facts);
        while !store.take_pending(usize::MAX).is_empty() {}
        let notice = Fact::Leaving(LeavingFact {
            vm: name("vm-x"),
            deadline: NOW,
        });
        store.merge(notice, NOW);
        let mut count = 0;
        while !store.take_pending(usize::MAX).is_empty() {
            count += 1;
        }
        assert_eq!(count, sends, "with {members} members");
    }
}
