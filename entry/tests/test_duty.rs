//! The lease for duties and what its holders do, against a stream and a platform that fail.

mod testutils;

use std::sync::Arc;

use hawthornrack_entry::Appended;
use hawthornrack_entry::BootTime;
use hawthornrack_entry::CONTEND_SLACK;
use hawthornrack_entry::CallKind;
use hawthornrack_entry::CustomerName;
use hawthornrack_entry::Duties;
use hawthornrack_entry::DutyEdge;
use hawthornrack_entry::DutyError;
use hawthornrack_entry::FencingToken;
use hawthornrack_entry::FleetOrder;
use hawthornrack_entry::LEASE_TERM;
use hawthornrack_entry::LeaseRead;
use hawthornrack_entry::LeaseRecord;
use hawthornrack_entry::LeaseState;
use hawthornrack_entry::LeaseView;
use hawthornrack_entry::Node;
use hawthornrack_entry::RolloutOrder;
use hawthornrack_entry::RolloutState;
use hawthornrack_entry::RolloutStatus;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::ToldRead;
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

/// The platform: a stream with conditional appends, and reports by window.
#[derive(Debug, Default)]
struct Platform {
    stream: Vec<LeaseRecord>,
    reports: IndexMap<WindowIndex, UsageReport>,
    newest: u64,
    tokens: IndexMap<u64, String>,
    conflicts: usize,
    statuses: Vec<RolloutState>,
}

#[derive(Clone, Debug)]
struct Edge {
    platform: Arc<Mutex<Platform>>,
    holder: String,
    rng: Arc<Mutex<SmallRng>>,
    /// Share of the calls whose answer is lost after they took effect.
    lost: f64,
    /// Share of the appends that the stream refuses.
    refused: f64,
}

impl Edge {
    fn answer<T>(&self, value: T) -> Result<T, DutyError> {
        if self.rng.lock().random_bool(self.lost) {
            return Err(DutyError::Unknown("lost".to_owned()));
        }
        Ok(value)
    }
}

impl DutyEdge for Edge {
    async fn read_lease(&self, from: u64) -> Result<LeaseRead, DutyError> {
        let platform = self.platform.lock();
        let records = platform.stream[from as usize..].to_vec();
        let end = platform.stream.len() as u64;
        drop(platform);
        self.answer(LeaseRead { records, end })
    }

    async fn append_lease(&self, record: &LeaseRecord, end: u64) -> Result<Appended, DutyError> {
        if self.rng.lock().random_bool(self.refused) {
            return Err(DutyError::Refused("refused".to_owned()));
        }
        let mut platform = self.platform.lock();
        let at = platform.stream.len() as u64;
        if at != end {
            platform.conflicts += 1;
            return Ok(Appended::Conflict(at));
        }
        platform.stream.push(record.clone());
        drop(platform);
        self.answer(Appended::At(at))
    }

    async fn report_usage(
        &self,
        token: FencingToken,
        report: &UsageReport,
    ) -> Result<(), DutyError> {
        let mut platform = self.platform.lock();
        if token.0 < platform.newest {
            return Err(DutyError::Fenced);
        }
        platform.newest = token.0;
        // Found by a soak (seed 11877697599049011824): a report whose record was refused was
        // sent all the same, and the next holder sent another.
        let mut fixed = platform.stream.iter().flat_map(|r| &r.reports);
        assert!(fixed.any(|f| f == report), "sent before it was fixed");
        let known = platform
            .tokens
            .entry(token.0)
            .or_insert_with(|| self.holder.clone());
        assert_eq!(*known, self.holder, "two holders use one token");
        let first = platform
            .reports
            .entry(report.window)
            .or_insert_with(|| report.clone());
        assert_eq!(first, report, "two reports of one window differ");
        drop(platform);
        self.answer(())
    }

    async fn read_told(&self, service: &ServiceName) -> Result<ToldRead, DutyError> {
        let platform = self.platform.lock();
        let status = platform.statuses.last().map(|state| RolloutStatus {
            service: service.clone(),
            target: VersionName::from("v2"),
            state: *state,
        });
        let end = platform.statuses.len() as u64;
        drop(platform);
        self.answer(ToldRead { status, end })
    }

    async fn tell_rollout(&self, status: &RolloutStatus, end: u64) -> Result<Appended, DutyError> {
        let mut platform = self.platform.lock();
        let at = platform.statuses.len() as u64;
        if at != end {
            return Ok(Appended::Conflict(at));
        }
        let fixed = platform.stream.iter().rev().flat_map(|r| &r.rollouts);
        let mut stages = fixed.filter_map(|r| r.stage);
        assert!(
            stages.any(|s| s.state == status.state),
            "told before it was fixed: {status:?}"
        );
        platform.statuses.push(status.state);
        drop(platform);
        self.answer(Appended::At(at))
    }

    async fn order(&self, _token: FencingToken, _order: &FleetOrder) -> Result<(), DutyError> {
        Ok(())
    }
}

fn entry(name: &str) -> Arc<Node> {
    let metrics = testutils::node(config(CallKind::Once), 1).metrics.clone();
    let mut settings = settings(name);
    // Windows end while the test runs in real time.
    settings.usage_window = Duration::from_millis(100);
    let node = Node::new(settings, metrics);
    node.apply_config(config(CallKind::Once), "test");
    node
}

/// Three entries with their duties; one in five answers is lost, one in five appends refused.
fn three_entries(
    platform: &Arc<Mutex<Platform>>,
    rng: &Arc<Mutex<SmallRng>>,
) -> Vec<(Arc<Node>, Duties<Edge>)> {
    let with_duties = |name: &str| {
        let node = entry(name);
        let edge = Edge {
            platform: Arc::clone(platform),
            holder: name.to_owned(),
            rng: Arc::clone(rng),
            lost: 0.2,
            refused: 0.2,
        };
        (Arc::clone(&node), Duties::new(node, edge))
    };
    ["a", "b", "c"].map(with_duties).into()
}

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
        node.usage.lock().note(window, &customer);
        duties.tick().await;
        // A holder is now and then cut short, so that another one contends.
        if rng.lock().random_bool(0.02) {
            node.lease.lock().drop_own();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let platform = platform.lock();
    assert!(!platform.stream.is_empty(), "seed {seed}");
    assert!(
        !platform.reports.is_empty(),
        "no report in 6 s, seed {seed}"
    );
}

/// Notes failures of the new version, which all entries know of.
fn note_failures<'a>(nodes: impl Iterator<Item = &'a Node>) {
    for node in nodes {
        let mut rollouts = node.rollouts.lock();
        let evidence = rollouts.evidence_mut(&ServiceName::from("desk")).unwrap();
        evidence.side_mut("a", VersionSide::Target).failed = 9;
    }
}

// Holders change and answers are lost; what one has fixed, the next one goes on from.
#[rstest]
#[tokio::test]
async fn test_duty_rollout_only_goes_forward(#[values(1, 2, 3)] seed: u64) {
    let platform = Arc::new(Mutex::new(Platform::default()));
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
    let mut entries = three_entries(&platform, &rng);
    for (node, _) in &entries {
        node.note_rollout(RolloutOrder {
            id: 3,
            service: ServiceName::from("desk"),
            target: VersionName::from("v2"),
            within: Duration::from_secs(2),
        });
    }
    for round in 0..600 {
        if round == 200 {
            note_failures(entries.iter().map(|(node, _)| &**node));
        }
        let at = rng.lock().random_range(0..entries.len());
        let (node, duties) = &mut entries[at];
        duties.tick().await;
        if rng.lock().random_bool(0.02) {
            node.lease.lock().drop_own();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let platform = platform.lock();
    let stages: Vec<_> = platform
        .stream
        .iter()
        .flat_map(|r| &r.rollouts)
        .filter_map(|r| r.stage)
        .collect();
    assert!(stages.is_sorted(), "seed {seed}: {stages:?}");
    // Each was told once, by whichever holder.
    let told = [RolloutState::InProgress, RolloutState::RolledBack];
    assert_eq!(platform.statuses, told, "seed {seed}");
}

fn record(holder: &str) -> LeaseRecord {
    LeaseRecord {
        holder: holder.into(),
        incarnation: 1,
        term: None,
        reports: Vec::new(),
        fixed: WindowIndex(0),
        baselines: IndexMap::new(),
        rollouts: Vec::new(),
        released: false,
    }
}

fn at(ms: u64) -> BootTime {
    BootTime(Duration::from_millis(ms))
}

#[test]
fn test_duty_term_counts_from_before_the_record_was_sent_and_through_suspensions() {
    let mut lease = LeaseState::default();
    let sent = at(1_000);
    lease.note_own(record("a"), 4, sent);
    let end = BootTime(sent.0 + LEASE_TERM);
    let before = BootTime(end.0.saturating_sub(Duration::from_millis(1)));
    assert_eq!(lease.token(before), Some(FencingToken(5)));
    assert_eq!(lease.token(end), None, "the clock counts suspended time");
}

#[test]
fn test_duty_renewals_keep_the_token() {
    let mut lease = LeaseState::default();
    lease.note_own(record("a"), 4, at(0));
    let mut renewal = record("a");
    renewal.term = Some(4);
    lease.note_own(renewal, 5, at(1_500));
    assert_eq!(lease.token(at(3_000)), Some(FencingToken(5)));
    assert_eq!(lease.end, 6);
}

// Found on trouble-1 of Kanem: a holder that the store turned away went on telling peers of
// its last record, and each time they took that as a sign of life.
#[test]
fn test_duty_old_news_of_a_holder_do_not_keep_its_lease_alive() {
    let mut lease = LeaseState::default();
    lease.observe(vec![record("a")], 1, at(0));
    let view = LeaseView {
        holder: "a".into(),
        end: 3,
    };
    for ms in (0..4_000).step_by(300) {
        lease.note_peer(&view, at(1_000 + ms));
    }
    let end = BootTime(at(1_000).0 + LEASE_TERM + CONTEND_SLACK);
    let before = BootTime(end.0.saturating_sub(Duration::from_millis(1)));
    assert!(!lease.is_vacant(before));
    assert!(lease.is_vacant(end));
    // Reading the records that were told of is no news either.
    lease.observe(vec![record("a"), record("a")], 3, end);
    assert!(lease.is_vacant(end));
}

#[test]
fn test_duty_released_lease_is_vacant_at_once() {
    let mut lease = LeaseState::default();
    let mut released = record("a");
    released.released = true;
    lease.observe(vec![released], 1, at(0));
    assert!(lease.is_vacant(at(1)));
}
