//! Evidence on prompt parts that crash endpoints, at the limits of what an entry keeps and shares.

use std::time::Duration;

use hawthornrack_entry::EndpointId;
use hawthornrack_entry::EndpointProcess;
use hawthornrack_entry::EntryName;
use hawthornrack_entry::PartCrashTracker;
use hawthornrack_entry::PartId;
use hawthornrack_entry::PartReport;
use rstest::rstest;
use tokio::time::Instant;

/// A part that crashes every endpoint.
const BAD: PartId = PartId(1_000_000);

/// Time between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a crash counts.
const CRASH_RETENTION: Duration = Duration::from_mins(4);

fn process(number: u64) -> EndpointProcess {
    EndpointProcess::new(&EndpointId::from("e"), number)
}

/// Returns a report of one crash of each of the given processes, the last one just now.
fn report(part: PartId, processes: &[u64]) -> PartReport {
    let ages = (0..processes.len() as u64).rev();
    let interval_ms = CRASH_INTERVAL.as_millis() as u64;
    PartReport {
        part,
        crashes: processes
            .iter()
            .zip(ages)
            .map(|(number, age)| (process(*number), age * interval_ms))
            .collect(),
        completed: 0,
        completed_sends: Vec::new(),
    }
}

/// Records three crashes under a part.
async fn crash_three_times(tracker: &mut PartCrashTracker, part: PartId) {
    for number in 0..3 {
        tracker.record_crash(part, process(number), Instant::now());
        tokio::time::advance(CRASH_INTERVAL).await;
    }
}

// A new crash was not reported to peers while many older parts had crashes, so that each entry had
// to see all the crashes itself.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_newest_crash_is_reported_beside_many_older_ones() {
    let mut tracker = PartCrashTracker::default();
    for part in 0..40 {
        tracker.record_crash(PartId(part), process(part), Instant::now());
    }
    tokio::time::advance(CRASH_INTERVAL).await;
    tracker.record_crash(BAD, process(99), Instant::now());
    let reports = tracker.reports(Instant::now());
    assert!(reports.iter().any(|r| r.part == BAD), "{reports:?}");
}

// Counts of completed requests were left out of the reports of an entry with many crashes, so that
// peers went on refusing sound requests.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_counts_are_reported_beside_many_crashes() {
    let mut tracker = PartCrashTracker::default();
    let sound = PartId(7_000);
    tracker.record_completed(sound, Instant::now(), Instant::now());
    let peer = EntryName::from("peer");
    let now = Instant::now();
    tracker.merge(&peer, &[report(sound, &[1, 2, 3])], now, now);
    for part in 0..40 {
        tracker.record_crash(PartId(part), process(part), Instant::now());
    }
    let reports = tracker.reports(Instant::now());
    let counts = reports.iter().find(|r| r.part == sound);
    assert_eq!(counts.map(|r| r.completed), Some(1), "{reports:?}");
}

// A part known to crash endpoints was forgotten first when many other parts had crashes.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_known_part_outlives_many_single_crashes() {
    let mut tracker = PartCrashTracker::default();
    crash_three_times(&mut tracker, BAD).await;
    for part in 0..400 {
        tracker.record_crash(PartId(part), process(part), Instant::now());
    }
    assert!(tracker.is_crashing(&[BAD], Instant::now()));
}

// A peer's count of completed requests that arrived before the crashes was dropped, so that an
// entry that had just started refused sound requests.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_count_that_arrives_before_the_crashes_is_kept() {
    let mut tracker = PartCrashTracker::default();
    let sound = PartId(7);
    let counts = PartReport {
        completed: 5,
        ..report(sound, &[])
    };
    let now = Instant::now();
    tracker.merge(&EntryName::from("b"), &[counts], now, now);
    tracker.merge(
        &EntryName::from("a"),
        &[report(sound, &[1, 2, 3])],
        now,
        now,
    );
    assert!(!tracker.is_crashing(&[sound], now));
}

// What a peer reported of completed requests was dropped when it restarted or left, so that its peers
// refused sound requests.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_reports_outlive_the_peer_that_made_them(
    #[values(true, false)] is_back: bool,
) {
    let mut tracker = PartCrashTracker::default();
    let (peer, sound) = (EntryName::from("peer"), PartId(7));
    let completed = PartReport {
        completed: 2,
        completed_sends: vec![10, 20],
        ..report(sound, &[1, 2, 3, 4, 5])
    };
    let now = Instant::now();
    tracker.merge(&peer, &[completed], now, now);
    assert!(!tracker.is_crashing(&[sound], now));
    if is_back {
        tracker.merge(&peer, &[report(sound, &[5])], now, now);
    }
    tokio::time::advance(CRASH_INTERVAL).await;
    assert!(!tracker.is_crashing(&[sound], Instant::now()));
    // Its requests say nothing of crashes after them.
    for number in 6..12 {
        tracker.record_crash(sound, process(number), Instant::now());
        tokio::time::advance(CRASH_INTERVAL).await;
    }
    assert!(tracker.is_crashing(&[sound], Instant::now()));
}

// Completed requests were forgotten before the crashes that they outweigh or whose number they raise,
// so that a sound part was refused minutes later.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_completed_requests_are_kept_as_long_as_the_crashes(
    #[values(true, false)] completes_first: bool,
) {
    let mut tracker = PartCrashTracker::default();
    let (sound, other) = (PartId(7), PartId(8));
    let complete = |tracker: &mut PartCrashTracker, part| {
        tracker.record_completed(part, Instant::now(), Instant::now());
    };
    complete(&mut tracker, other);
    tokio::time::advance(Duration::from_secs(100)).await;
    if completes_first {
        complete(&mut tracker, sound);
    }
    crash_three_times(&mut tracker, sound).await;
    if !completes_first {
        complete(&mut tracker, sound);
    }
    for seconds in [20, 120] {
        assert!(!tracker.is_crashing(&[sound], Instant::now()));
        tokio::time::advance(Duration::from_secs(seconds)).await;
        complete(&mut tracker, other);
    }
    assert!(!tracker.is_crashing(&[sound], Instant::now()));
}

// Requests that a peer reported after its restart were ignored while it had reported more before, so
// that sound requests were refused. Reported again, they do not outweigh more crashes, although their
// ages are rounded.
#[rstest]
#[case::sound(5, false)]
#[case::bad(8, true)]
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_reports_of_a_restarted_peer_count_once(
    #[case] crashes: u64,
    #[case] is_crashing: bool,
) {
    let mut tracker = PartCrashTracker::default();
    let (peer, part) = (EntryName::from("peer"), PartId(7));
    let crashes: Vec<u64> = (0..crashes).collect();
    let before = PartReport {
        completed: 6,
        completed_sends: (10_000..10_006).collect(),
        ..report(part, &crashes)
    };
    tokio::time::advance(Duration::from_secs(20)).await;
    let now = Instant::now();
    tracker.merge(&peer, &[before], now, now);
    for elapsed_us in (0..6).map(|repeat| repeat * 1_300) {
        let after = PartReport {
            completed: 2,
            completed_sends: vec![elapsed_us / 1_000, 10 + elapsed_us / 1_000],
            ..report(part, &[])
        };
        let now = now + Duration::from_micros(elapsed_us);
        tracker.merge(&peer, &[after], now, now);
    }
    assert_eq!(tracker.is_crashing(&[part], Instant::now()), is_crashing);
}

// A process that had failed minutes before and crashed again was not counted while its part was
// still listed, so that the part was not found.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_process_counts_again_after_its_expired_crash() {
    let mut tracker = PartCrashTracker::default();
    crash_three_times(&mut tracker, BAD).await;
    tokio::time::advance(CRASH_RETENTION).await;
    assert!(!tracker.is_crashing(&[BAD], Instant::now()));
    crash_three_times(&mut tracker, BAD).await;
    assert!(tracker.is_crashing(&[BAD], Instant::now()));
}

// Requests that a peer reported before and after its restart were not added up, so that the part no
// longer counted as known, and crashes at two moments were enough.
#[rstest]
#[case::as_many_as_before(1, &[40_000], &[900], 4)]
#[case::more_than_before(1, &[40_000], &[400, 900], 7)]
#[case::two_after(3, &[2_000, 3_000, 40_000], &[100, 400], 13)]
#[case::one_after(2, &[2_000, 40_000], &[100], 7)]
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_requests_before_and_after_a_restart_are_added_up(
    #[case] completed: u64,
    #[case] before_ms: &[u64],
    #[case] after_ms: &[u64],
    #[case] crashes: u64,
) {
    tokio::time::advance(Duration::from_mins(1)).await;
    let mut tracker = PartCrashTracker::default();
    let (peer, part, now) = (EntryName::from("peer"), PartId(7), Instant::now());
    // The first process crashed 8 s ago, the others at the same moment.
    let crashed =
        (0..crashes).map(|number| (process(number), if number == 0 { 8_000 } else { 50 }));
    let before = PartReport {
        crashes: crashed.collect(),
        completed,
        completed_sends: before_ms.to_vec(),
        ..report(part, &[])
    };
    let after = PartReport {
        completed: after_ms.len() as u64,
        completed_sends: after_ms.to_vec(),
        ..report(part, &[])
    };
    for reported in [before, after] {
        tracker.merge(&peer, &[reported], now, now);
        assert!(!tracker.is_crashing(&[part], now));
    }
}

/// Tells each of two entries in turn what the other reports.
fn exchange_reports(trackers: &mut [PartCrashTracker; 2]) {
    let now = Instant::now();
    for (from, to) in [(0, 1), (1, 0)] {
        let reports = trackers[from].reports(now);
        let name = EntryName::from(format!("entry-{from}").as_str());
        trackers[to].merge(&name, &reports, now, now);
    }
}

// A common part that once had a crash was reported for the life of the entries.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_common_part_is_not_reported_long_after_its_crash() {
    let mut trackers = [PartCrashTracker::default(), PartCrashTracker::default()];
    let sound = PartId(7);
    trackers[0].record_crash(sound, process(1), Instant::now());
    for second in 0..720 {
        exchange_reports(&mut trackers);
        let now = Instant::now();
        let reported = trackers.each_mut().map(|t| !t.reports(now).is_empty());
        if second < 120 {
            assert!(reported[0], "second {second}");
        }
        if second > 240 {
            assert_eq!(reported, [false; 2], "second {second}");
        }
        for tracker in &mut trackers {
            tracker.record_completed(sound, now, now);
        }
        tokio::time::advance(Duration::from_secs(1)).await;
    }
}

// A request that completed at a peer hours before a part turned bad raised the number of crashes
// that are needed; the peer may have left or go on reporting.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_old_request_of_a_peer_does_not_delay_the_finding(
    #[values(0, 1)] old_crashes: u64,
    #[values(true, false)] has_left: bool,
) {
    let mut tracker = PartCrashTracker::default();
    let peer = EntryName::from("peer");
    let processes: Vec<u64> = (100..100 + old_crashes).collect();
    let old = PartReport {
        completed: 1,
        completed_sends: vec![10],
        ..report(BAD, &processes)
    };
    let now = Instant::now();
    tracker.merge(&peer, &[old], now, now);
    for _ in 0..120 {
        tokio::time::advance(Duration::from_mins(1)).await;
        let other = report(PartId(7), &[]);
        let now = Instant::now();
        if !has_left {
            tracker.merge(&peer, &[other], now, now);
        }
    }
    crash_three_times(&mut tracker, BAD).await;
    assert!(tracker.is_crashing(&[BAD], Instant::now()));
}

// Guards against a bad part that is forgotten before its time when the entry that reported its
// crashes and completed requests crashed, too.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_crashes_outlive_the_peer_that_reported_them() {
    let mut tracker = PartCrashTracker::default();
    let (gone, other) = (EntryName::from("gone"), EntryName::from("other"));
    let now = Instant::now();
    let bad = PartReport {
        completed: 1,
        completed_sends: vec![60_000],
        ..report(BAD, &[1, 2, 3, 4, 5])
    };
    tracker.merge(&gone, &[bad], now, now);
    for second in 0..235 {
        let now = Instant::now();
        let sound = PartReport {
            completed: 1,
            ..report(PartId(7), &[])
        };
        tracker.merge(&other, &[sound], now, now);
        assert!(tracker.is_crashing(&[BAD], now), "second {second}");
        tokio::time::advance(Duration::from_secs(1)).await;
    }
}

// Guards against one request of a peer that counts several times because reports of it were on
// their way for different times, so that it outweighs the crashes of a bad part.
#[tokio::test(start_paused = true)]
async fn test_crash_part_limits_request_in_delayed_reports_counts_once() {
    let mut tracker = PartCrashTracker::default();
    tokio::time::advance(Duration::from_mins(1)).await;
    let now = Instant::now();
    for delay_ms in [0, 1_200, 2_500, 3_900, 0] {
        let completed = PartReport {
            completed: 1,
            completed_sends: vec![5_000 - delay_ms],
            crashes: (1..=4)
                .map(|number| (process(number), number * 1_000 + 5_000))
                .collect(),
            ..report(BAD, &[])
        };
        tracker.merge(&EntryName::from("peer"), &[completed], now, now);
        assert!(tracker.is_crashing(&[BAD], now), "delayed by {delay_ms} ms");
    }
}
