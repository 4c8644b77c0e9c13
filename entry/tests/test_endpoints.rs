//! The table of endpoints: leaving, missing and returning ones.

mod testutils;

use std::time::Duration;

use hawthornrack_entry::EndpointId;
use hawthornrack_entry::EndpointState;
use hawthornrack_entry::EndpointTable;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::TableChange;
use testutils::endpoint;
use tokio::time::Instant;

fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.replace(vec![endpoint("a"), endpoint("b")], Instant::now());
    table
}

fn usable(table: &EndpointTable) -> usize {
    let service = ServiceName::from("desk");
    table.candidates(&service, Instant::now()).count()
}

#[tokio::test(start_paused = true)]
async fn test_endpoints_removed_in_calm_times_are_gone_at_once() {
    let mut table = table();
    let change = table.remove(&EndpointId::from("a"), Instant::now());
    assert_eq!(change, TableChange::Leaving);
    assert_eq!(usable(&table), 1);
}

#[tokio::test(start_paused = true)]
async fn test_endpoints_missing_after_an_outage_may_come_back() {
    let mut table = table();
    table.note_outage(Instant::now());
    table.remove(&EndpointId::from("a"), Instant::now());
    assert_eq!(usable(&table), 2);
    let mut back = endpoint("a");
    back.sequence = 2;
    table.apply(back);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(usable(&table), 2);
}

// Found on trouble-1 of Kanem: an entry that had been turned away by the store kept using an
// endpoint for longer than it may after the endpoint's entry was removed.
#[tokio::test(start_paused = true)]
async fn test_endpoints_missing_after_an_outage_are_gone_two_seconds_after_its_end() {
    let mut table = table();
    table.note_outage(Instant::now());
    tokio::time::sleep(Duration::from_millis(900)).await;
    table.remove(&EndpointId::from("a"), Instant::now());
    assert_eq!(usable(&table), 2);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    assert_eq!(usable(&table), 1);
}

#[tokio::test(start_paused = true)]
async fn test_endpoints_that_leave_do_not_return_by_an_old_entry() {
    let mut table = table();
    let mut leaving = endpoint("a");
    leaving.state = EndpointState::Draining;
    leaving.sequence = 5;
    assert_eq!(table.apply(leaving), TableChange::Leaving);
    let mut old = endpoint("a");
    old.sequence = 4;
    assert_eq!(table.apply(old), TableChange::None);
    assert_eq!(usable(&table), 1);
}

#[tokio::test(start_paused = true)]
async fn test_endpoints_forgotten_do_not_return_by_an_old_entry() {
    let mut table = table();
    let now = Instant::now();
    table.remove(&EndpointId::from("a"), now);
    table.sweep(now);
    assert_eq!(table.apply(endpoint("a")), TableChange::None);
    let mut newer = endpoint("a");
    newer.sequence = 2;
    assert_eq!(table.apply(newer), TableChange::Joined);
}

#[tokio::test(start_paused = true)]
async fn test_endpoints_born_again_take_requests() {
    let mut table = table();
    let id = EndpointId::from("a");
    assert!(table.note_leaving(&id));
    assert_eq!(usable(&table), 1);
    let mut again = endpoint("a");
    again.born = 2;
    again.sequence = 0;
    assert_eq!(table.apply(again), TableChange::Joined);
    assert_eq!(usable(&table), 2);
}
