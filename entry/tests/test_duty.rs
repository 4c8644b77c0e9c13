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
use testutils::config;
use testutils::settings;

/// In-memory platform with a lease stream, rollout statuses and usage reports by window.
#[derive(Debug, Default)]
struct Platform {
    lease_stream: Vec<LeaseRecord>,
    reports: IndexMap<WindowIndex, UsageReport>,
    highest_token: u64,
    token_holders: IndexMap<u64, String>,
    conflicts: usize,
    statuses: Vec<RolloutState>,
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
    async fn read_lease(&self, from: u64) -> Result<LeaseRead, DutyError> {
        let platform = self.platform.lock();
        let records = platform.lease_stream[from as usize..].to_vec();
        let end = platform.lease_stream.len() as u64;
        drop(platform);
        self.respond(LeaseRead { records, end })
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
        let at = platform.lease_stream.len() as u64;
        if at != end {
            platform.conflicts += 1;
            return Ok(ConditionalAppend::Conflict(at));
        }
        platform.lease_stream.push(record.clone());
        drop(platform);
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
        node.apply_rollout_order(RolloutOrder {
            id: 3,
            service: ServiceName::from("desk"),
            target: VersionName::from("v2"),
            within: Duration::from_secs(2),
        });
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
    lease.apply_records(vec![record("a")], 1, at(0));
    let view = LeaseView {
        holder: "a".into(),
        end: 3,
    };
    for ms in (0..4_000).step_by(300) {
        lease.record_peer(&view, at(1_000 + ms));
    }
    let end = BootTime(at(1_000).0 + LEASE_DURATION + ACQUIRE_GRACE_PERIOD);
    let before = BootTime(end.0.saturating_sub(Duration::from_millis(1)));
    assert!(!lease.is_vacant(before));
    assert!(lease.is_vacant(end));
    // Reading the records that the view already covered does not extend it either.
    lease.apply_records(vec![record("a"), record("a")], 3, end);
    assert!(lease.is_vacant(end));
}

// Guards against waiting for the expiry of a term that its holder has released.
#[test]
fn test_duty_released_lease_is_vacant_at_once() {
    let mut lease = LeaseState::default();
    let mut released = record("a");
    released.released = true;
    lease.apply_records(vec![released], 1, at(0));
    assert!(lease.is_vacant(at(1)));
}
