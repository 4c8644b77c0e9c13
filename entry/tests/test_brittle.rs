//! Endpoints that say how many rejections a second they survive.

mod testutils;

use std::time::Duration;

use hawthornrack_entry::BrittleLedger;
use hawthornrack_entry::CountedRun;
use hawthornrack_entry::EndpointId;
use hawthornrack_entry::EndpointProcess;
use hawthornrack_entry::Permit;
use rstest::rstest;
use testutils::sim::NOTICE_TIME;
use testutils::sim::Sim;
use testutils::sim::endpoint_owned_by;
use tokio::time::Instant;

/// Number of requests that a simulated endpoint runs at a time.
const SLOTS: usize = 8;

/// Time for which rejections are counted.
const WINDOW: Duration = Duration::from_secs(8);

/// Minimum part of the requests that the endpoint could run at most that it runs.
const MIN_USED_SHARE: f64 = 0.5;

/// What happens to the entry that owns the endpoint's limit while it is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OwnerFault {
    None,
    Freeze,
    End,
}

// Guards against brittle endpoints that fall over: entries that know nothing of each other's requests
// fill the queue together, and all are rejected in the same second.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_brittle_endpoint_rejects_no_more_than_it_survives(
    #[values(6, 88, 300)] entries: u16,
    #[values(1.0, 3.0, 10.0)] max_rejections: f64,
    #[values(OwnerFault::None, OwnerFault::Freeze, OwnerFault::End)] fault: OwnerFault,
) {
    let endpoint = endpoint_owned_by(2, entries);
    let mut sim = Sim::new(&endpoint, entries, 120.0, 7);
    sim.settle().await;
    sim.slots = SLOTS;
    sim.max_rejections = Some(max_rejections);
    sim.run(NOTICE_TIME).await;
    let from = Instant::now();
    let before = sim.served;
    sim.run(WINDOW / 4).await;
    match fault {
        OwnerFault::None => {}
        OwnerFault::Freeze | OwnerFault::End => sim.entries[2].is_running = false,
    }
    sim.run(WINDOW / 2).await;
    sim.entries[2].is_running |= fault == OwnerFault::Freeze;
    sim.run(WINDOW / 4).await;
    let rejections = sim.max_rejections_in_a_second(from);
    assert!(
        rejections as f64 <= max_rejections,
        "{rejections} rejections in a second, {max_rejections} are survived"
    );
    if fault == OwnerFault::None {
        // Requests run for 275 ms on average.
        let possible = SLOTS as f64 * WINDOW.as_secs_f64() / 0.275;
        let served = (sim.served - before) as f64;
        assert!(
            served >= possible * MIN_USED_SHARE,
            "{served} of {possible} served"
        );
    }
}

fn run(slots: u32, max_rejections: f64, now: Instant) -> CountedRun {
    CountedRun {
        max_rejections,
        slots,
        ends_at: now + Duration::from_secs(5),
    }
}

fn process() -> EndpointProcess {
    EndpointProcess::new(&EndpointId::from("e"), 1)
}

// Guards against more requests at an endpoint than it has slots, and against slots that are lost for
// good when the end of a request is not reported.
#[tokio::test(start_paused = true)]
async fn test_brittle_permits_end_with_the_slots() {
    let mut ledger = BrittleLedger::default();
    let start = Instant::now();
    let mut granted = 0;
    for step in 0..40 {
        let now = start + Duration::from_millis(100) * step;
        granted += u32::from(ledger.take(process(), run(4, 10.0, now), now) == Permit::Granted);
    }
    assert_eq!(granted, 4);
    let later = start + Duration::from_secs(6);
    assert_eq!(
        ledger.take(process(), run(4, 10.0, later), later),
        Permit::Granted
    );
    let full = start + Duration::from_secs(20);
    for _ in 0..4 {
        ledger.take(process(), run(4, 10.0, full), full);
    }
    ledger.record_end(process(), false, full);
    let now = full + Duration::from_millis(200);
    assert_eq!(
        ledger.take(process(), run(4, 10.0, now), now),
        Permit::Granted
    );
}

// Guards against an endpoint that is out of memory with slots to spare: rejections bound what is sent.
#[tokio::test(start_paused = true)]
async fn test_brittle_rejections_bound_what_is_sent() {
    let mut ledger = BrittleLedger::default();
    let start = Instant::now();
    let mut rejections = Vec::new();
    for step in 0..400_u32 {
        let now = start + Duration::from_millis(10) * step;
        if ledger.take(process(), run(64, 4.0, now), now) == Permit::Granted {
            ledger.record_end(process(), true, now);
            rejections.push(now);
        }
    }
    for (index, first) in rejections.iter().enumerate() {
        let second = rejections[index..].iter();
        let count = second
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count();
        assert!(count <= 4, "{count} rejections in a second");
    }
    assert!(!rejections.is_empty());
}
