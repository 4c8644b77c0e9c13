//! What operators see of a node, of a move and of events.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigState;
use crate::DomainName;
use crate::Epoch;
use crate::Event;
use crate::EvidenceRow;
use crate::FULL_SHARE;
use crate::LATENCY_BOUNDS_MS;
use crate::LiveView;
use crate::Member;
use crate::MemberState;
use crate::Move;
use crate::MoveEnd;
use crate::MoveName;
use crate::MoveResult;
use crate::MoveState;
use crate::NodeName;
use crate::Offset;
use crate::Stop;
use crate::Timestamp;
use crate::VersionName;
use crate::VmName;
use crate::WINDOW_MS;

/// Evidence windows that a progress message sums over.
const EVIDENCE_WINDOWS: u64 = 60;

/// Events in one answer at most.
const MAX_EVENTS: usize = 10_000;

/// Share of requests that lies below the reported latency, in thousandths.
const LATENCY_QUANTILE: u64 = 950;

/// State of a node that is not part of the configuration or the live view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeState {
    /// Name of the node.
    pub node: NodeName,
    /// Whether a configuration is in force at the node.
    pub ready: bool,
    /// Whether the platform's log answers.
    pub log_reachable: bool,
    /// Leases, as the log records them.
    pub leases: Vec<LeaseRow>,
}

/// A lease on a duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Duty, for the reader.
    pub duty: String,
    /// Node that holds the lease.
    pub holder: NodeName,
    /// Fencing number.
    pub epoch: Epoch,
}

/// State of a node and what it knows of the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// State of the node itself.
    #[serde(flatten)]
    pub state: NodeState,
    /// Offset of the next record of the configuration.
    pub next: Offset,
    /// Entry VMs.
    pub members: Vec<Member>,
    /// Machines under notice.
    pub leaving: Vec<LeavingVm>,
    /// Versions stopped during moves.
    pub stops: Vec<StopRow>,
}

/// A machine under notice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingVm {
    /// Machine.
    pub vm: VmName,
    /// Time at which it ends.
    pub deadline: Timestamp,
}

/// A version stopped during a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopRow {
    /// Move.
    pub name: MoveName,
    /// Why and when.
    pub stop: Stop,
}

impl NodeReport {
    /// Puts a report together from the parts of a node's state.
    pub fn new(state: NodeState, config: &ConfigState, live: &LiveView) -> Self {
        let mut members: Vec<Member> = live.members.values().cloned().collect();
        members.sort_by(|a, b| a.node.cmp(&b.node));
        let leaving = live.leaving.iter().map(|(vm, deadline)| LeavingVm {
            vm: vm.clone(),
            deadline: *deadline,
        });
        let stops = live.stops.iter().map(|(name, stop)| StopRow {
            name: name.clone(),
            stop: stop.clone(),
        });
        Self {
            state,
            next: config.next,
            members,
            leaving: leaving.collect(),
            stops: stops.collect(),
        }
    }
}

/// An entry that callers can use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Node.
    pub node: NodeName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Requests in progress over the limit on them, in thousandths.
    pub load: u32,
}

/// Returns the entries that take requests, the least loaded first.
pub fn entry_rows(live: &LiveView) -> Vec<EntryRow> {
    let mut rows: Vec<EntryRow> = live.members.values().filter_map(entry_row).collect();
    rows.sort_by(|a, b| (a.load, &a.node).cmp(&(b.load, &b.node)));
    rows
}

fn entry_row(member: &Member) -> Option<EntryRow> {
    let gate = member.gate.as_ref()?;
    let alive = matches!(member.state, MemberState::Alive | MemberState::Suspect);
    (alive && gate.accepting).then(|| EntryRow {
        node: member.node.clone(),
        domain: member.domain.clone(),
        address: gate.callers,
        load: gate.load,
    })
}

/// Phase of a move.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MovePhase {
    /// The start lies ahead.
    Waiting,
    /// Traffic is moving.
    Moving,
    /// All traffic has moved, and the new version is still being watched.
    Watching,
    /// The new version was stopped; the record of the end is to come.
    Stopped,
    /// The move has ended.
    Ended,
}

/// Progress of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveProgress {
    /// The move as declared.
    pub spec: Move,
    /// Phase.
    pub phase: MovePhase,
    /// Share of the new version now, in thousandths.
    pub share: u32,
    /// Evidence about both versions.
    pub evidence: Vec<VersionEvidence>,
    /// Why the new version was stopped, if it was.
    pub stop: Option<String>,
    /// End, in the last message only.
    pub end: Option<MoveEnd>,
}

/// Evidence about a version on a route over the last minute.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionEvidence {
    /// Version.
    pub version: VersionName,
    /// Prefix of the route, empty when none matched.
    pub route: String,
    /// Requests that succeeded.
    pub ok: u64,
    /// Requests that failed through the version's fault.
    pub failed: u64,
    /// Upper bound of the bucket that holds the 95th percentile of the time to the first
    /// byte, in milliseconds; `None` without requests and above the last bound.
    pub p95: Option<u64>,
}

impl MoveProgress {
    /// Computes a move's progress; `share` is the new version's share while the move runs.
    pub fn new(state: &MoveState, live: &LiveView, share: u32, now: Timestamp) -> Self {
        let stop = live.stops.get(&state.spec.name);
        let phase = phase(state, stop, share, now);
        let share = match (&state.end, phase) {
            (Some(end), _) if end.result == MoveResult::Done => FULL_SHARE,
            (Some(_), _) | (None, MovePhase::Stopped | MovePhase::Waiting) => 0,
            (None, _) => share,
        };
        Self {
            spec: state.spec.clone(),
            phase,
            share,
            evidence: summarize(&state.spec, &live.evidence, now),
            stop: stop.map(|s| s.reason.clone()),
            end: state.end.clone(),
        }
    }
}

fn phase(state: &MoveState, stop: Option<&Stop>, share: u32, now: Timestamp) -> MovePhase {
    if state.end.is_some() {
        MovePhase::Ended
    } else if stop.is_some() {
        MovePhase::Stopped
    } else if now < state.spec.start {
        MovePhase::Waiting
    } else if share >= FULL_SHARE {
        MovePhase::Watching
    } else {
        MovePhase::Moving
    }
}

fn summarize(spec: &Move, rows: &[EvidenceRow], now: Timestamp) -> Vec<VersionEvidence> {
    let oldest = (now.0 / WINDOW_MS).saturating_sub(EVIDENCE_WINDOWS);
    let mut sums: Vec<(VersionEvidence, Vec<u64>)> = Vec::new();
    let recent = rows.iter().filter(|row| row.key.window >= oldest);
    for row in recent.filter(|row| concerns(spec, row)) {
        let known = sums
            .iter()
            .position(|(s, _)| s.version == row.key.version && s.route == row.key.route);
        let index = known.unwrap_or_else(|| {
            sums.push((empty_evidence(row), Vec::new()));
            sums.len() - 1
        });
        add_row(&mut sums[index], row);
    }
    sums.sort_by(|(a, _), (b, _)| (&a.route, &a.version).cmp(&(&b.route, &b.version)));
    sums.into_iter()
        .map(|(sum, latency)| VersionEvidence {
            p95: latency_bound(&latency),
            ..sum
        })
        .collect()
}

fn concerns(spec: &Move, row: &EvidenceRow) -> bool {
    let ours = row.key.version == spec.from || row.key.version == spec.to;
    ours && row.key.service == spec.service
}

fn empty_evidence(row: &EvidenceRow) -> VersionEvidence {
    VersionEvidence {
        version: row.key.version.clone(),
        route: row.key.route.clone(),
        ok: 0,
        failed: 0,
        p95: None,
    }
}

fn add_row((sum, latency): &mut (VersionEvidence, Vec<u64>), row: &EvidenceRow) {
    sum.ok += row.sum.ok;
    sum.failed += row.sum.failed;
    if latency.len() < row.sum.latency.len() {
        latency.resize(row.sum.latency.len(), 0);
    }
    for (total, count) in latency.iter_mut().zip(&row.sum.latency) {
        *total += count;
    }
}

fn latency_bound(latency: &[u64]) -> Option<u64> {
    let total: u64 = latency.iter().sum();
    let rank = (total * LATENCY_QUANTILE).div_ceil(1000);
    let mut seen = 0;
    let index = latency.iter().position(|count| {
        seen += count;
        seen >= rank
    })?;
    (total > 0)
        .then(|| LATENCY_BOUNDS_MS.get(index).copied())
        .flatten()
}

/// Which events of the time line are asked for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineFilter {
    /// Only events that have this value in one of their fields.
    pub id: Option<String>,
    /// Only events from this wall time on.
    pub from: Timestamp,
    /// Newest events returned; zero for the server's limit.
    pub limit: usize,
}

impl TimelineFilter {
    /// Tells whether an event is asked for.
    pub fn admits(&self, event: &Event) -> bool {
        let named = |id: &String| event.fields.values().any(|value| value == id);
        event.time.wall >= self.from && self.id.as_ref().is_none_or(named)
    }
}

/// Events of several processes in causal order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timeline {
    /// Events.
    pub events: Vec<Event>,
    /// Processes whose events could not be read.
    pub missing: Vec<String>,
}

impl Timeline {
    /// Puts the events in causal order, drops repeats and those not asked for.
    pub fn merge(self, filter: &TimelineFilter) -> Self {
        let mut events = self.events;
        events.retain(|event| filter.admits(event));
        events.sort_by(|a, b| (a.time, &a.process, a.seq).cmp(&(b.time, &b.process, b.seq)));
        events.dedup_by(|a, b| a.time == b.time && a.process == b.process && a.seq == b.seq);
        let limit = match filter.limit {
            0 => MAX_EVENTS,
            limit => limit.min(MAX_EVENTS),
        };
        events.drain(..events.len().saturating_sub(limit));
        Self {
            events,
            missing: self.missing,
        }
    }
}
