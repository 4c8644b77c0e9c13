//! Choice of the endpoint for a request.

mod testutils;

use std::time::Duration;

use hawthornrack_entry::Choice;
use hawthornrack_entry::DomainName;
use hawthornrack_entry::EndpointKey;
use hawthornrack_entry::EndpointLoad;
use hawthornrack_entry::EndpointTable;
use hawthornrack_entry::Engine;
use hawthornrack_entry::Occupancy;
use hawthornrack_entry::PartId;
use hawthornrack_entry::PlacementRequest;
use hawthornrack_entry::Prompt;
use hawthornrack_entry::PromptPart;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::VersionFilter;
use hawthornrack_entry::choose_endpoint;
use indexmap::IndexMap;
use testutils::endpoint;
use tokio::time::Instant;

const ENGINE: Engine = Engine {
    slots: 64,
    kv_capacity: 400_000,
    stride: 6,
};

fn new_table(count: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    let mut records = Vec::new();
    for index in 0..count {
        let mut record = endpoint(&format!("engine-{index}"));
        record.slots = 64;
        records.push(record);
    }
    table.replace(records, Instant::now());
    table
}

fn prompt(session: u64) -> Prompt {
    let part = |id, tokens| PromptPart {
        id: PartId(id),
        tokens,
    };
    Prompt {
        parts: vec![part(session % 3, 500), part(1000 + session, 5000)],
        input: 12_000,
        max_output: 400,
        hint: None,
    }
}

fn choose(table: &EndpointTable, prompt: Option<&Prompt>, tried: &[EndpointKey]) -> Choice {
    let service = ServiceName::from("desk");
    let domain = DomainName::from("north");
    let request = PlacementRequest {
        service: &service,
        engine: prompt.map(|_| ENGINE),
        versions: VersionFilter::Any,
        prompt,
        domain: &domain,
        tried,
        max_wait: Duration::from_secs(1),
    };
    choose_endpoint(table, &request, Instant::now())
}

fn chosen_key(choice: Choice) -> EndpointKey {
    match choice {
        Choice::Send { key, .. } => key,
        other => panic!("no endpoint: {other:?}"),
    }
}

// Entries choose without coordination: if they disagreed on a session's endpoint, each of the
// chosen endpoints would prefill the session's prompt parts again.
#[tokio::test(start_paused = true)]
async fn test_placement_all_entries_choose_the_same_endpoint_for_a_session() {
    let (first, second) = (new_table(12), new_table(12));
    for session in 0..60 {
        let prompt = prompt(session);
        let choice = choose(&first, Some(&prompt), &[]);
        assert_eq!(choice, choose(&second, Some(&prompt), &[]));
        // The parts of the prompt (5,500 of 12,000 tokens) count as cached on the preferred
        // endpoint.
        assert!(matches!(choice, Choice::Send { prefill: 6_500, .. }));
    }
}

// Session affinity must not concentrate the load: every endpoint gets some sessions and none too
// many.
#[tokio::test(start_paused = true)]
async fn test_placement_spreads_sessions_over_endpoints() {
    let mut table = new_table(12);
    let mut sessions: IndexMap<EndpointKey, u32> = IndexMap::new();
    for session in 0..60 {
        let prompt = prompt(session);
        let choice = choose(&table, Some(&prompt), &[]);
        let Choice::Send { key, prefill } = choice else {
            panic!("no endpoint");
        };
        *sessions.entry(key).or_default() += 1;
        let occupancy = Occupancy {
            tokens: prompt.max_tokens(),
            prefill,
            non_retryable: false,
        };
        table
            .get_mut(key)
            .unwrap()
            .load
            .begin(occupancy, Instant::now());
    }
    assert_eq!(sessions.len(), 12);
    assert!(sessions.values().all(|count| *count <= 10), "{sessions:?}");
}

// Strict affinity would queue a request behind a long prefill backlog although another endpoint
// could prefill the whole prompt sooner.
#[tokio::test(start_paused = true)]
async fn test_placement_leaves_the_preferred_endpoint_when_waiting_takes_longer() {
    let mut table = new_table(12);
    let prompt = prompt(1);
    let preferred = chosen_key(choose(&table, Some(&prompt), &[]));
    let backlog = Occupancy {
        tokens: 0,
        prefill: 40_000,
        non_retryable: false,
    };
    table
        .get_mut(preferred)
        .unwrap()
        .load
        .begin(backlog, Instant::now());
    assert_ne!(chosen_key(choose(&table, Some(&prompt), &[])), preferred);
}

// A prompt that was rejected or cancelled is not prefilled: if it still counted as backlog, one that
// states a huge size would keep every other prompt away from the endpoint for hours.
#[tokio::test(start_paused = true)]
async fn test_placement_backlog_ends_with_the_requests_that_caused_it() {
    let mut load = EndpointLoad::default();
    let now = Instant::now();
    let occupancy = |prefill| Occupancy {
        prefill,
        ..Occupancy::default()
    };
    load.begin(occupancy(1000), now);
    let backlog = load.prefill_backlog(now);
    load.begin(occupancy(u32::MAX), now);
    assert!(load.prefill_backlog(now) > Duration::from_hours(1));
    load.end(occupancy(u32::MAX));
    assert_eq!(load.prefill_backlog(now), backlog);
    load.begin(occupancy(500), now);
    assert!(load.prefill_backlog(now) < backlog * 2);
    load.end(occupancy(500));
    load.end(occupancy(1000));
    assert_eq!(load.prefill_backlog(now), Duration::ZERO);
}

// Requests sent to an unavailable endpoint fail; once it responds again, its sessions return to
// their cached parts.
#[tokio::test(start_paused = true)]
async fn test_placement_avoids_unavailable_endpoints_until_they_respond() {
    let mut table = new_table(2);
    let prompt = prompt(1);
    let preferred = chosen_key(choose(&table, Some(&prompt), &[]));
    let load = &mut table.get_mut(preferred).unwrap().load;
    load.record_unavailable(Instant::now());
    assert_ne!(chosen_key(choose(&table, Some(&prompt), &[])), preferred);
    table
        .get_mut(preferred)
        .unwrap()
        .load
        .record_success(Duration::from_millis(50));
    assert_eq!(chosen_key(choose(&table, Some(&prompt), &[])), preferred);
}

// Calls without a prompt have no affinity and must be balanced by the number in flight.
#[tokio::test(start_paused = true)]
async fn test_placement_sends_plain_calls_to_the_endpoint_with_the_fewest_in_flight() {
    let mut table = new_table(4);
    let mut counts: IndexMap<EndpointKey, u32> = IndexMap::new();
    for _ in 0..40 {
        let key = chosen_key(choose(&table, None, &[]));
        *counts.entry(key).or_default() += 1;
        let load = &mut table.get_mut(key).unwrap().load;
        load.begin(Occupancy::default(), Instant::now());
    }
    assert!(
        counts.values().all(|count| (9..=11).contains(count)),
        "{counts:?}"
    );
}

// Callers wait while all endpoints are full but fail if none is left to try: `Choice::Full` must
// carry a positive wait and must not be confused with `Choice::NoEndpoint`.
#[tokio::test(start_paused = true)]
async fn test_placement_reports_that_all_are_full_or_tried() {
    let mut table = EndpointTable::default();
    table.replace(vec![endpoint("a")], Instant::now());
    let only_key = chosen_key(choose(&table, None, &[]));
    assert_eq!(choose(&table, None, &[only_key]), Choice::NoEndpoint);
    // Fills the four slots and the queue of two requests per slot.
    for _ in 0..12 {
        let load = &mut table.get_mut(only_key).unwrap().load;
        load.begin(Occupancy::default(), Instant::now());
    }
    assert!(matches!(choose(&table, None, &[]), Choice::Full(wait) if wait > Duration::ZERO));
}

// Guards against herding: in a system of 88 entries the load data received from peers is seconds
// old. If every entry compared all endpoints, all of them would choose the one that looks idle and
// overload it.
#[tokio::test(start_paused = true)]
async fn test_placement_entries_with_the_same_stale_data_do_not_choose_one_endpoint() {
    let mut table = new_table(20);
    let keys: Vec<_> = table.iter().map(|(key, _)| key).collect();
    for key in &keys[1..] {
        table.get_mut(*key).unwrap().load.peers.running = 20;
    }
    let mut chosen = 0;
    for session in 0..400 {
        let short_prompt = Prompt {
            parts: vec![PromptPart {
                id: PartId(5000 + session),
                tokens: 200,
            }],
            input: 800,
            max_output: 300,
            hint: None,
        };
        chosen += u32::from(chosen_key(choose(&table, Some(&short_prompt), &[])) == keys[0]);
    }
    assert!(
        (20..120).contains(&chosen),
        "{chosen} of 400 went to the idle endpoint"
    );
}
