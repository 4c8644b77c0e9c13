//! Quotas of customers over several entries.

use std::time::Duration;

use hawthornrack_entry::Admission;
use hawthornrack_entry::CustomerName;
use hawthornrack_entry::EntryName;
use hawthornrack_entry::Quota;
use hawthornrack_entry::QuotaLedger;
use hawthornrack_entry::QuotaUnit;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use tokio::time::Instant;

const QUOTA: Quota = Quota {
    rate: 1000.0,
    burst: 1000.0,
    unit: QuotaUnit::Requests,
};

/// Plays a customer who sends `press` times its rate through several entries that exchange
/// counts every 300 ms, and returns the most units admitted in any 8 s.
fn most_admitted(seed: u64, entries: usize, press: f64, cut: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let customer = CustomerName::from("kanem");
    let start = Instant::now();
    let mut ledgers: Vec<QuotaLedger> = (0..entries).map(|_| QuotaLedger::new(true)).collect();
    for ledger in &mut ledgers {
        ledger.set_entries(entries);
        ledger.declare([(&customer, QUOTA)].into_iter(), start);
        for peer in 0..entries {
            let name = EntryName::from(format!("{peer}").as_str());
            ledger.note_peer(
                &name,
                &[(customer.clone(), 0.0)].into_iter().collect(),
                start,
            );
        }
    }
    let mut admitted: Vec<(u64, f64)> = Vec::new();
    for ms in (0..30_000_u64).step_by(10) {
        let now = start + Duration::from_millis(ms);
        let units = 10.0;
        for _ in 0..(press * QUOTA.rate * 0.01 / units).round() as usize {
            let ledger = &mut ledgers[rng.random_range(0..entries)];
            if ledger.admit(&customer, QUOTA, units, now) == Admission::Admitted {
                admitted.push((ms, units));
            }
        }
        if ms % 300 == 0 {
            exchange(&mut ledgers, now, cut && ms > 10_000);
        }
    }
    most_in_window(&admitted, 8_000)
}

fn exchange(ledgers: &mut [QuotaLedger], now: Instant, cut: bool) {
    let totals: Vec<_> = ledgers.iter().map(QuotaLedger::own_totals).collect();
    for (at, ledger) in ledgers.iter_mut().enumerate() {
        for (peer, totals) in totals.iter().enumerate() {
            // The first entry is cut off from all others.
            if peer != at && !(cut && (peer == 0 || at == 0)) {
                ledger.note_peer(&EntryName::from(format!("{peer}").as_str()), totals, now);
            }
        }
    }
}

fn most_in_window(admitted: &[(u64, f64)], window: u64) -> f64 {
    let mut most: f64 = 0.0;
    let mut sum = 0.0;
    let mut first = 0;
    for (ms, units) in admitted {
        sum += units;
        while admitted[first].0 + window < *ms {
            sum -= admitted[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn test_quota_holds_over_all_entries(
    #[values(1, 2, 3)] seed: u64,
    #[values(2, 8)] entries: usize,
    #[values(1.5, 6.0)] press: f64,
    #[values(false, true)] cut: bool,
) {
    let most = most_admitted(seed, entries, press, cut);
    let limit = (QUOTA.rate * 8.0 + QUOTA.burst) * 1.1;
    // What entries admit before they hear of each other: the press of 300 ms.
    let late = press * QUOTA.rate * 0.3;
    assert!(
        most <= limit + late,
        "{most} of {limit} + {late}, seed {seed}"
    );
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn test_quota_gives_a_customer_within_its_limit_all_it_asks(#[values(4, 5)] seed: u64) {
    let most = most_admitted(seed, 8, 0.9, false);
    assert!(most >= 0.9 * QUOTA.rate * 8.0, "{most}, seed {seed}");
}

#[tokio::test(start_paused = true)]
async fn test_quota_of_a_process_that_starts_again_starts_empty() {
    let customer = CustomerName::from("kanem");
    let mut ledger = QuotaLedger::new(false);
    let now = Instant::now();
    let admission = ledger.admit(&customer, QUOTA, 100.0, now);
    assert_eq!(admission, Admission::Over(Duration::from_millis(100)));
    let later = now + Duration::from_millis(100);
    assert_eq!(
        ledger.admit(&customer, QUOTA, 100.0, later),
        Admission::Admitted
    );
}
