//! Tests of the lease and the duties of its holder against a platform that loses responses and
//! refuses appends to the lease stream.

mod testutils;

use std::sync::Arc;

use hawthornrack_entry::ACQUIRE_GRACE_PERIOD;
use hawthornrack_entry::BootTime;
use hawthornrack_entry::ConditionalAppend;
use hawthornrack_entry::CustomerName;
use hawthornrack_entry::Duties;
use hawthornrack_entry::DutyClient;
use hawthornrack_entry::DutyError;
use hawthornrack_entry::FencingToken;
use hawthornrack_entry::FleetOrder;
use hawthornrack_entry::LEASE_DURATION;
use hawthornrack_entry::LeaseRead;
use hawthornrack_entry::LeaseRecord;
use hawthornrack_entry::LeaseState;
use hawthornrack_entry::LeaseView;
use hawthornrack_entry::Node;
use hawthornrack_entry::RolloutOrder;
use hawthornrack_entry::RolloutState;
use hawthornrack_entry::RolloutStatus;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::StatusRead;
use hawthornrack_entry::StoreEra;
use hawthornrack_entry::Succession;
use hawthornrack_entry::UsageReport;
use hawthornrack_entry::VersionName;
use hawthornrack_entry::VersionSide;
use hawthornrack_entry::WindowIndex;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use std::time::Duration;
use testutils::Log;
use testutils::config;
use testutils::settings;
use tokio::time::Instant;

/// In-memory platform with a lease stream, rollout statuses and usage reports by window.
#[derive(Debug, Default)]
struct Platform {
    lease_stream: Vec<LeaseRecord>,
    /// Offset of the first record of the lease stream that can still be read.
    first_retained: usize,
    era: StoreEra,
    /// Number of reads of the lease stream.
    reads: usize,
    reports: IndexMap<WindowIndex, UsageReport>,
    highest_token: u64,
    token_holders: IndexMap<u64, String>,
    conflicts: usize,
    statuses: Vec<RolloutState>,
    /// What happens to every append to the lease stream, instead of at random.
    append_fault: Option<AppendFault>,
}

/// Fault of an append to the lease stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AppendFault {
    Refused,
    ResponseLost,
}

#[derive(Clone, Debug)]
struct LossyClient {
    platform: Arc<Mutex<Platform>>,
    holder: String,
    rng: Arc<Mutex<SmallRng>>,
    /// Probability that the response to a call is lost after the call took effect.
    loss_ratio: f64,
    /// Probability that an append to the lease stream is refused.
    refusal_ratio: f64,
}

impl LossyClient {
    fn respond<T>(&self, value: T) -> Result<T, DutyError> {
        if self.rng.lock().random_bool(self.loss_ratio) {
            return Err(DutyError::Unknown("lost".to_owned()));
        }
        Ok(value)
    }
}

impl DutyClient for LossyClient {
    fn store_era(&self) -> StoreEra {
        self.platform.lock().era
    }

    async fn read_lease(&self, from: u64) -> Result<LeaseRead, DutyError> {
        let mut platform = self.platform.lock();
        platform.reads += 1;
        let first = platform.first_retained.max(from as usize);
        let newest = platform.lease_stream.get(first..);
        let newest = newest.and_then(|records| records.last()).cloned();
        let end = platform.lease_stream.len() as u64;
        let era = platform.era;
        drop(platform);
        self.respond(LeaseRead { newest, end, era })
    }

    async fn append_lease(
        &self,
        record: &LeaseRecord,
        end: u64,
    ) -> Result<ConditionalAppend, DutyError> {
        if self.rng.lock().random_bool(self.refusal_ratio) {
            return Err(DutyError::Refused("refused".to_owned()));
        }
        let mut platform = self.platform.lock();
        let fault = platform.append_fault;
        if fault == Some(AppendFault::Refused) {
            return Err(DutyError::Refused("refused".to_owned()));
        }
        let at = platform.lease_stream.len() as u64;
        if at != end {
            platform.conflicts += 1;
            return Ok(ConditionalAppend::Conflict(at));
        }
        platform.lease_stream.push(record.clone());
        drop(platform);
        if fault == Some(AppendFault::ResponseLost) {
            return Err(DutyError::Unknown("lost".to_owned()));
        }
        self.respond(ConditionalAppend::Appended(at))
    }

    async fn report_usage(
        &self,
        token: FencingToken,
        report: &UsageReport,
    ) -> Result<(), DutyError> {
        let mut platform = self.platform.lock();
        if token.0 < platform.highest_token {
            return Err(DutyError::Fenced);
        }
        platform.highest_token = token.0;
        // Guards against a report that is sent although the append of its record was refused; the
        // next holder then sent a different one.
        let mut recorded = platform.lease_stream.iter().flat_map(|r| &r.reports);
        assert!(
            recorded.any(|f| f == report),
            "report sent before its record was appended"
        );
        let known = platform
            .token_holders
            .entry(token.0)
            .or_insert_with(|| self.holder.clone());
        assert_eq!(*known, self.holder, "two holders use one token");
        let first = platform
            .reports
            .entry(report.window)
            .or_insert_with(|| report.clone());
        assert_eq!(first, report, "two reports of one window differ");
        drop(platform);
        self.respond(())
    }

    async fn read_rollout_status(&self, service: &ServiceName) -> Result<StatusRead, DutyError> {
        let platform = self.platform.lock();
        let status = platform.statuses.last().map(|state| RolloutStatus {
            service: service.clone(),
            target: VersionName::from("v2"),
            state: *state,
        });
        let end = platform.statuses.len() as u64;
        drop(platform);
        self.respond(StatusRead { status, end })
    }

    async fn publish_rollout_status(
        &self,
        status: &RolloutStatus,
        end: u64,
    ) -> Result<ConditionalAppend, DutyError> {
        let mut platform = self.platform.lock();
        let at = platform.statuses.len() as u64;
        if at != end {
            return Ok(ConditionalAppend::Conflict(at));
        }
        let recorded = platform.lease_stream.iter().rev().flat_map(|r| &r.rollouts);
        let mut stages = recorded.filter_map(|r| r.stage);
        assert!(
            stages.any(|s| s.state == status.state),
            "status published before its stage was recorded: {status:?}"
        );
        platform.statuses.push(status.state);
        drop(platform);
        self.respond(ConditionalAppend::Appended(at))
    }

    async fn order(&self, _token: FencingToken, _order: &FleetOrder) -> Result<(), DutyError> {
        Ok(())
    }
}

fn entry(name: &str) -> Arc<Node> {
    let metrics = testutils::node(config(RouteKind::Once), 1).metrics.clone();
    let mut settings = settings(name);
    // Short windows, because the test runs in real time.
    settings.usage_window = Duration::from_millis(100);
    let node = Node::new(settings, metrics);
    node.apply_config(config(RouteKind::Once), "test");
    node
}

/// Creates three entries with their duties; a fifth of the responses are lost and a fifth of the
/// appends are refused.
fn three_entries(
    platform: &Arc<Mutex<Platform>>,
    rng: &Arc<Mutex<SmallRng>>,
) -> Vec<(Arc<Node>, Duties<LossyClient>)> {
    let with_duties = |name: &str| {
        let node = entry(name);
        let client = LossyClient {
            platform: Arc::clone(platform),
            holder: name.to_owned(),
            rng: Arc::clone(rng),
            loss_ratio: 0.2,
            refusal_ratio: 0.2,
        };
        (Arc::clone(&node), Duties::new(node, client))
    };
    ["a", "b", "c"].map(with_duties).into()
}

// Guards against two different reports for one window: the holder changes at random, and a
// successor may know other counts than its predecessor, whose responses and appends may be lost.
#[rstest]
#[tokio::test]
async fn test_duty_reports_of_a_window_never_differ(#[values(1, 2, 3)] seed: u64) {
    let platform = Arc::new(Mutex::new(Platform::default()));
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
    let mut entries = three_entries(&platform, &rng);
    let customer = CustomerName::from("kanem");
    for _ in 0..600 {
        let at = rng.lock().random_range(0..entries.len());
        let (node, duties) = &mut entries[at];
        let window = node.usage_window();
        node.usage.lock().record(window, &customer);
        duties.tick().await;
        // End the term at random, so that another entry acquires the lease.
        if rng.lock().random_bool(0.02) {
            node.lease.lock().drop_own_term();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let platform = platform.lock();
    assert!(!platform.lease_stream.is_empty(), "seed {seed}");
    assert!(
        !platform.reports.is_empty(),
        "no report in 6 s, seed {seed}"
    );
}

/// Returns duties of the entry `name` whose calls to the platform all succeed.
fn reliable_duties(
    platform: &Arc<Mutex<Platform>>,
    name: &str,
) -> (Arc<Node>, Duties<LossyClient>) {
    let node = entry(name);
    let client = LossyClient {
        platform: Arc::clone(platform),
        holder: name.to_owned(),
        rng: Arc::new(Mutex::new(SmallRng::seed_from_u64(1))),
        loss_ratio: 0.0,
        refusal_ratio: 0.0,
    };
    (Arc::clone(&node), Duties::new(node, client))
}

// Guards against two different reports for one window after the stream has lost its history: an
// entry that could not read the newest record acquired the lease with the final window of an older
// one, and reported the windows in between once more with its own counts.
#[tokio::test]
async fn test_duty_windows_of_an_unreadable_term_are_not_reported_again() {
    let platform = Arc::new(Mutex::new(Platform::default()));
    let (node, mut duties) = reliable_duties(&platform, "b");
    let current = node.usage_window().0;
    let mut old = record("a");
    old.final_window = WindowIndex(current - 4);
    {
        let mut platform = platform.lock();
        platform.lease_stream = vec![old.clone(), record("a"), record("a")];
        platform.first_retained = 3;
        for index in current - 3..current {
            let counts = IndexMap::from([(CustomerName::from("kanem"), 999)]);
            let window = WindowIndex(index);
            platform
                .reports
                .insert(window, UsageReport { window, counts });
        }
    }
    node.lease.lock().apply_read(read(1, Some(old), 0), at(0));
    for _ in 0..35 {
        duties.tick().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        platform.lock().lease_stream.len() > 3,
        "the lease was not acquired"
    );
}

fn rollout_order() -> RolloutOrder {
    RolloutOrder {
        id: 3,
        service: ServiceName::from("desk"),
        target: VersionName::from("v2"),
        within: Duration::from_secs(2),
    }
}

/// Records failures of the new version in the evidence of every entry.
fn record_failures<'a>(nodes: impl Iterator<Item = &'a Node>) {
    for node in nodes {
        let mut rollouts = node.rollouts.lock();
        let evidence = rollouts.evidence_mut(&ServiceName::from("desk")).unwrap();
        evidence.side_mut("a", VersionSide::Target).failed = 9;
    }
}

// Guards against a rollout that returns to an earlier stage, or a status that is published twice,
// when the holder changes and responses are lost: a successor continues from the last record.
#[rstest]
#[tokio::test]
async fn test_duty_rollout_stages_never_go_back(#[values(1, 2, 3)] seed: u64) {
    let platform = Arc::new(Mutex::new(Platform::default()));
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
    let mut entries = three_entries(&platform, &rng);
    for (node, _) in &entries {
        node.apply_rollout_order(rollout_order());
    }
    for round in 0..600 {
        if round == 200 {
            record_failures(entries.iter().map(|(node, _)| &**node));
        }
        let at = rng.lock().random_range(0..entries.len());
        let (node, duties) = &mut entries[at];
        duties.tick().await;
        if rng.lock().random_bool(0.02) {
            node.lease.lock().drop_own_term();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let platform = platform.lock();
    let stages: Vec<_> = platform
        .lease_stream
        .iter()
        .flat_map(|r| &r.rollouts)
        .filter_map(|r| r.stage)
        .collect();
    assert!(stages.is_sorted(), "seed {seed}: {stages:?}");
    // Each status is published once, whichever entry holds the lease.
    let expected = [RolloutState::InProgress, RolloutState::RolledBack];
    assert_eq!(platform.statuses, expected, "seed {seed}");
}

// Guards against a log that names stages which never took effect, several times a second while the
// lease stream refuses appends.
#[rstest]
#[case::refused(AppendFault::Refused)]
#[case::response_lost(AppendFault::ResponseLost)]
#[tokio::test]
async fn test_duty_stage_is_logged_once_when_it_takes_effect(#[case] fault: AppendFault) {
    let (log, _guard) = Log::capture();
    let stage_count = || log.values("rollout_stage", "stage").len();
    let platform = Arc::new(Mutex::new(Platform::default()));
    let (node, mut duties) = reliable_duties(&platform, "a");
    duties.tick().await;
    node.apply_rollout_order(rollout_order());
    platform.lock().append_fault = Some(fault);
    // A lost response is followed by a read, which shows that the stage took effect.
    let failing_ticks = if fault == AppendFault::Refused { 5 } else { 1 };
    for _ in 0..failing_ticks {
        duties.tick().await;
        assert_eq!(stage_count(), 0, "not known to be in effect");
    }
    platform.lock().append_fault = None;
    for _ in 0..3 {
        duties.tick().await;
        assert_eq!(stage_count(), 1);
    }
}

fn record(holder: &str) -> LeaseRecord {
    LeaseRecord {
        holder: holder.into(),
        incarnation: 1,
        term_offset: None,
        reports: Vec::new(),
        final_window: WindowIndex(0),
        baselines: IndexMap::new(),
        rollouts: Vec::new(),
        released: false,
        era: StoreEra::default(),
    }
}

/// Returns a read of the stream in an era that ends at `end` with a record of the holder `a`.
fn read(end: u64, newest: Option<LeaseRecord>, era: u64) -> LeaseRead {
    LeaseRead {
        newest,
        end,
        era: StoreEra(era),
    }
}

fn at(ms: u64) -> BootTime {
    BootTime(Duration::from_millis(ms))
}

// Guards against a holder that acts after its term: the term is measured from the sending of the
// append, not from its response, on a clock that also advances while the VM is suspended.
#[test]
fn test_duty_term_counts_from_before_the_record_was_sent_and_through_suspensions() {
    let mut lease = LeaseState::default();
    let sent = at(1_000);
    lease.record_own_append(record("a"), 4, sent);
    let end = BootTime(sent.0 + LEASE_DURATION);
    let before = BootTime(end.0.saturating_sub(Duration::from_millis(1)));
    assert_eq!(lease.token(before), Some(FencingToken(5)));
    assert_eq!(lease.token(end), None, "the term has ended");
}

// Guards against a renewal that changes the token, which would fence the holder's own calls.
#[test]
fn test_duty_renewals_keep_the_token() {
    let mut lease = LeaseState::default();
    lease.record_own_append(record("a"), 4, at(0));
    let mut renewal = record("a");
    renewal.term_offset = Some(4);
    lease.record_own_append(renewal, 5, at(1_500));
    assert_eq!(lease.token(at(3_000)), Some(FencingToken(5)));
    assert_eq!(lease.end, 6);
}

// Guards against a lease that never becomes vacant: a holder whose appends the store refused kept
// sending the same lease view to its peers, and they took each one for a renewal.
#[test]
fn test_duty_repeated_peer_reports_do_not_extend_the_lease() {
    let mut lease = LeaseState::default();
    lease.apply_read(read(1, Some(record("a")), 0), at(0));
    let view = LeaseView {
        holder: "a".into(),
        end: 3,
        era: StoreEra::default(),
    };
    for ms in (0..4_000).step_by(300) {
        lease.record_peer(&view, at(1_000 + ms));
    }
    let end = BootTime(at(1_000).0 + LEASE_DURATION + ACQUIRE_GRACE_PERIOD);
    let before = BootTime(end.0.saturating_sub(Duration::from_millis(1)));
    assert!(!lease.is_vacant(before));
    assert!(lease.is_vacant(end));
    // Reading the records that the view already covered does not extend it either.
    lease.apply_read(read(3, Some(record("a")), 0), end);
    assert!(lease.is_vacant(end));
}

// Guards against waiting for the expiry of a term that its holder has released.
#[test]
fn test_duty_released_lease_is_vacant_at_once() {
    let mut lease = LeaseState::default();
    let mut released = record("a");
    released.released = true;
    lease.apply_read(read(1, Some(released), 0), at(0));
    assert!(lease.is_vacant(at(1)));
}

// Guards against an entry that acquires the lease from a live holder because the history of the
// stream is lost: it knew no record, and took that for a stream without a holder.
#[test]
fn test_duty_unreadable_newest_record_does_not_make_the_lease_vacant() {
    let mut lease = LeaseState::default();
    lease.apply_read(read(7, None, 0), at(0));
    let end = BootTime(LEASE_DURATION + ACQUIRE_GRACE_PERIOD);
    assert!(!lease.is_vacant(BootTime(end.0.saturating_sub(Duration::from_millis(1)))));
    assert!(lease.is_vacant(end));
    assert_eq!(lease.succession(), Succession::Restart(None));
}

// Guards against a token that two holders use because the store gives out an offset again, and
// against one that goes back.
#[test]
fn test_duty_token_rises_when_offsets_go_back() {
    let mut lease = LeaseState::default();
    lease.enter_era(StoreEra(1), at(0));
    lease.record_own_append(record("a"), 9, at(0));
    let before = lease.token(at(10)).unwrap();
    lease.enter_era(StoreEra(2), at(20));
    assert_eq!(
        lease.token(at(20)),
        None,
        "the term belongs to an earlier era"
    );
    let mut renewed = record("a");
    renewed.era = StoreEra(2);
    lease.record_own_append(renewed, 4, at(30));
    assert!(lease.token(at(40)).unwrap() > before);
}

// Guards against a second holder while the first one still acts on a term of the era before, and
// against the loss of what only that first one knows.
#[test]
fn test_duty_lease_of_an_earlier_era_stays_with_its_holder_until_it_expires() {
    let mut holder = LeaseState::default();
    let mut other = LeaseState::default();
    holder.enter_era(StoreEra(1), at(0));
    let mut first = record("a");
    first.era = StoreEra(1);
    holder.record_own_append(first.clone(), 9, at(0));
    other.apply_read(read(10, Some(first.clone()), 1), at(100));
    let restored = read(4, Some(first.clone()), 2);
    holder.apply_read(restored.clone(), at(1_000));
    other.apply_read(restored, at(1_000));
    assert!(holder.is_vacant(at(1_000)));
    assert_eq!(holder.succession(), Succession::Continue);
    assert!(!other.is_vacant(at(3_000)));
    assert!(other.is_vacant(at(3_400)));
    assert_eq!(other.succession(), Succession::Restart(Some(first)));
    // A record of the new era ends the claim of the former holder.
    let mut newer = record("b");
    newer.era = StoreEra(2);
    holder.apply_read(read(5, Some(newer.clone()), 2), at(1_100));
    assert!(!holder.is_vacant(at(1_100)));
    assert_eq!(holder.succession(), Succession::Adopt(newer));
}

// Guards against a late response of an earlier era that replaces what is known of the new one.
#[test]
fn test_duty_read_of_an_earlier_era_has_no_effect() {
    let mut lease = LeaseState::default();
    lease.apply_read(read(4, Some(record("a")), 2), at(0));
    lease.apply_read(read(90, Some(record("b")), 1), at(10));
    assert_eq!(lease.end, 4);
}

// Guards against differing reports and tokens with two holders when the store returns from older
// copies: records are gone and their offsets are given out again.
#[rstest]
#[tokio::test]
async fn test_duty_reports_of_a_window_never_differ_across_eras(#[values(1, 2, 3)] seed: u64) {
    let platform = Arc::new(Mutex::new(Platform::default()));
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
    let mut entries = three_entries(&platform, &rng);
    let customer = CustomerName::from("kanem");
    for round in 0..900 {
        let at = rng.lock().random_range(0..entries.len());
        let (node, duties) = &mut entries[at];
        let window = node.usage_window();
        node.usage.lock().record(window, &customer);
        duties.tick().await;
        if rng.lock().random_bool(0.004) {
            node.lease.lock().drop_own_term();
        }
        if round % 300 == 299 {
            let mut platform = platform.lock();
            let end = platform.lease_stream.len();
            platform
                .lease_stream
                .truncate(end - rng.lock().random_range(0..=end.min(4)));
            platform.era = StoreEra(platform.era.0 + 1);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(!platform.lock().reports.is_empty(), "seed {seed}");
}

// Guards against a large system whose entries all read the lease stream every few seconds: news of
// the lease comes late there, and each entry took the holder's term for expired.
#[tokio::test]
async fn test_duty_few_entries_watch_a_lease_whose_news_is_late() {
    let platform = Arc::new(Mutex::new(Platform::default()));
    platform.lock().lease_stream.push(record("e0"));
    let names: Vec<String> = (0..40).map(|n| format!("e{n}")).collect();
    let mut entries: Vec<_> = names
        .iter()
        .map(|n| reliable_duties(&platform, n))
        .collect();
    let states: Vec<_> = entries.iter().map(|(node, _)| node.own_state()).collect();
    for (node, _) in &entries {
        let mut members = node.members.lock();
        for state in &states {
            if state.name != node.settings.name {
                members.merge(state.clone(), Instant::now());
            }
        }
    }
    let age = |seconds| {
        BootTime(
            BootTime::now()
                .0
                .saturating_sub(Duration::from_secs(seconds)),
        )
    };
    for (seconds, most) in [(3, 4), (5, 8)] {
        platform.lock().reads = 0;
        for (node, duties) in &mut entries {
            *node.lease.lock() = LeaseState::default();
            let known = read(1, Some(record("e0")), 0);
            node.lease.lock().apply_read(known, age(seconds));
            duties.tick().await;
        }
        let reads = platform.lock().reads;
        assert!(
            (1..=most).contains(&reads),
            "{reads} reads after {seconds} s"
        );
    }
}
