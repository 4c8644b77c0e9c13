//! Endpoint table: draining, missing and returning endpoints.

mod testutils;

use std::time::Duration;

use hawthornrack_entry::EndpointId;
use hawthornrack_entry::EndpointState;
use hawthornrack_entry::EndpointTable;
use hawthornrack_entry::RemovedEndpoint;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::TableChange;
use testutils::endpoint;
use tokio::time::Instant;

fn new_table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.replace(vec![endpoint("a"), endpoint("b")], Instant::now());
    table
}

fn candidate_count(table: &EndpointTable) -> usize {
    let service = ServiceName::from("desk");
    table.candidates(&service, Instant::now()).count()
}

// Without a recent list outage a removed record means a removed endpoint: a grace period would
// send requests to an endpoint that no longer exists.
#[tokio::test(start_paused = true)]
async fn test_endpoints_removed_without_an_outage_are_gone_at_once() {
    let mut table = new_table();
    let change = table.remove(&EndpointId::from("a"), Instant::now());
    assert_eq!(change, TableChange::Leaving);
    assert_eq!(candidate_count(&table), 1);
}

// Records expire during a list outage although their endpoints run. Dropping such an endpoint at
// once would lose capacity until its record is written again.
#[tokio::test(start_paused = true)]
async fn test_endpoints_missing_after_an_outage_may_return() {
    let mut table = new_table();
    table.record_failed_read(Instant::now());
    table.remove(&EndpointId::from("a"), Instant::now());
    assert_eq!(candidate_count(&table), 2);
    let mut returned = endpoint("a");
    returned.sequence = 2;
    table.apply(returned, Instant::now());
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(candidate_count(&table), 2);
}

// Guards against using a removed endpoint for too long: an entry VM whose reads the store had
// refused kept sending requests to an endpoint for longer than the grace period allows after the
// endpoint's record was removed. The grace period of 2 s starts at the last failed read of the
// list, not at the removal.
#[tokio::test(start_paused = true)]
async fn test_endpoints_missing_after_an_outage_are_gone_two_seconds_after_its_end() {
    let mut table = new_table();
    table.record_failed_read(Instant::now());
    tokio::time::sleep(Duration::from_millis(900)).await;
    table.remove(&EndpointId::from("a"), Instant::now());
    assert_eq!(candidate_count(&table), 2);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    assert_eq!(candidate_count(&table), 1);
}

// The grace period after an outage is for endpoints that may return. One that a peer without an
// outage saw leave was used until the end of the grace period.
#[tokio::test(start_paused = true)]
async fn test_endpoints_missing_after_an_outage_are_gone_when_a_peer_saw_them_leave() {
    let mut table = new_table();
    let now = Instant::now();
    table.record_failed_read(now);
    let removed = RemovedEndpoint {
        id: EndpointId::from("a"),
        incarnation: 1,
        sequence: 1,
    };
    table.remove(&removed.id, now);
    assert!(table.mark_removed(&removed, now));
    assert_eq!(candidate_count(&table), 1);
    assert!(!table.mark_removed(&removed, now), "already marked");
}

// Records may arrive out of order: an older `ready` record must not undo draining.
#[tokio::test(start_paused = true)]
async fn test_endpoints_draining_ignore_an_older_record() {
    let mut table = new_table();
    let mut draining = endpoint("a");
    draining.state = EndpointState::Draining;
    draining.sequence = 5;
    assert_eq!(table.apply(draining, Instant::now()), TableChange::Leaving);
    let mut old = endpoint("a");
    old.sequence = 4;
    assert_eq!(table.apply(old, Instant::now()), TableChange::None);
    assert_eq!(candidate_count(&table), 1);
}

// A delayed record must not bring back an endpoint that was removed; only a newer one may.
#[tokio::test(start_paused = true)]
async fn test_endpoints_removed_ignore_an_old_record() {
    let mut table = new_table();
    let now = Instant::now();
    table.remove(&EndpointId::from("a"), now);
    table.remove_expired(now);
    assert_eq!(
        table.apply(endpoint("a"), Instant::now()),
        TableChange::None
    );
    let mut newer = endpoint("a");
    newer.sequence = 2;
    assert_eq!(table.apply(newer, Instant::now()), TableChange::Joined);
}

// An endpoint that restarts under its old id has a newer incarnation: the draining mark of the
// previous one must not keep it out of use.
#[tokio::test(start_paused = true)]
async fn test_endpoints_restarted_accept_requests() {
    let mut table = new_table();
    let id = EndpointId::from("a");
    assert!(table.mark_draining(&id));
    assert_eq!(candidate_count(&table), 1);
    let mut restarted = endpoint("a");
    restarted.incarnation = 2;
    restarted.sequence = 0;
    assert_eq!(table.apply(restarted, Instant::now()), TableChange::Joined);
    assert_eq!(candidate_count(&table), 2);
}

// Guards against the use of an endpoint that has left: a list from an older copy of the store named
// it once more with the record that was known when it left.
#[tokio::test(start_paused = true)]
async fn test_endpoints_old_list_does_not_bring_back_a_removed_endpoint() {
    let mut table = new_table();
    let in_use = endpoint("a");
    let id = in_use.id.clone();
    table.remove(&id, Instant::now());
    table.replace(vec![endpoint("a"), endpoint("b")], Instant::now());
    assert_eq!(candidate_count(&table), 1);
    table.remove_expired(Instant::now());
    table.replace(vec![endpoint("a"), endpoint("b")], Instant::now());
    assert_eq!(candidate_count(&table), 1);
}

// Guards against the use of an endpoint that has said that it leaves: its record was removed, and a
// later heartbeat of the same incarnation listed it as ready again.
#[tokio::test(start_paused = true)]
async fn test_endpoints_leaving_endpoint_stays_out_of_use_until_it_restarts() {
    let mut table = new_table();
    let id = EndpointId::from("a");
    assert!(table.mark_draining(&id));
    table.remove(&id, Instant::now());
    table.remove_expired(Instant::now());
    let mut listed = endpoint("a");
    listed.sequence = 9;
    table.apply(listed.clone(), Instant::now());
    assert_eq!(candidate_count(&table), 1);
    listed.incarnation += 1;
    table.apply(listed, Instant::now());
    assert_eq!(candidate_count(&table), 2);
}
