//! Reports for operators: status of a node, progress of a move and timeline of events.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigState;
use crate::DomainName;
use crate::EVIDENCE_WINDOW_MS;
use crate::Epoch;
use crate::Event;
use crate::EvidenceRow;
use crate::FULL_SHARE_PERMILLE;
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

/// Number of past evidence windows that a progress message sums over, besides the current one.
const PAST_EVIDENCE_WINDOW_COUNT: u64 = 60;

/// Maximum number of events in one timeline response.
const MAX_TIMELINE_EVENTS: usize = 10_000;

/// Quantile of the reported latency, in thousandths.
const LATENCY_QUANTILE_PERMILLE: u64 = 950;

/// State of a node that is not part of the configuration or the live view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeState {
    /// Name of the node.
    pub node: NodeName,
    /// Whether a configuration is in force at the node.
    pub ready: bool,
    /// Whether the node has recently been in contact with the platform's log.
    pub log_reachable: bool,
    /// Leases, as the log records them.
    pub leases: Vec<LeaseRow>,
}

/// A lease on a duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Description of the duty, for display.
    pub duty: String,
    /// Node that the log records as the holder.
    pub holder: NodeName,
    /// Fencing token; a higher one supersedes a lower one.
    pub epoch: Epoch,
}

/// State of a node and its view of the cluster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// State of the node itself.
    #[serde(flatten)]
    pub state: NodeState,
    /// Offset of the next record of the configuration.
    pub next: Offset,
    /// Entry VMs known to the node, sorted by node name.
    pub members: Vec<Member>,
    /// VMs with a reclaim notice.
    pub leaving: Vec<LeavingVm>,
    /// New versions that were stopped during a move.
    pub stops: Vec<StopRow>,
}

/// A VM with a reclaim notice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingVm {
    /// Platform identifier of the VM.
    pub vm: VmName,
    /// Time at which the VM is terminated.
    pub deadline: Timestamp,
}

/// Stop of the new version of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopRow {
    /// Name of the move.
    pub name: MoveName,
    /// Reason and time of the stop.
    pub stop: Stop,
}

impl NodeReport {
    /// Builds the report from the node's state, configuration and live view.
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

/// An entry that accepts requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Name of the entry's node.
    pub node: NodeName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address of the port for callers.
    pub address: SocketAddr,
    /// Ratio of requests in progress to their limit, in thousandths.
    pub load: u32,
}

/// Returns the entries that accept requests, sorted by load and then by node, lowest first.
pub fn entry_rows(live: &LiveView) -> Vec<EntryRow> {
    let mut rows: Vec<EntryRow> = live.members.values().filter_map(entry_row).collect();
    rows.sort_by(|a, b| (a.load, &a.node).cmp(&(b.load, &b.node)));
    rows
}

fn entry_row(member: &Member) -> Option<EntryRow> {
    let gate = member.gate.as_ref()?;
    let is_live = matches!(member.state, MemberState::Alive | MemberState::Suspect);
    (is_live && gate.accepting).then(|| EntryRow {
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
    /// The start time has not been reached.
    Waiting,
    /// Traffic is being shifted to the new version.
    Moving,
    /// The new version has all traffic and is still being monitored.
    Watching,
    /// The new version was stopped; the record of the move's end is not yet in the log.
    Stopped,
    /// The move has ended.
    Ended,
}

/// Progress of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveProgress {
    /// The move as requested.
    pub spec: Move,
    /// Phase at the time of the report.
    pub phase: MovePhase,
    /// Current traffic share of the new version, in thousandths.
    pub share: u32,
    /// Evidence about the old and the new version, sorted by route and then by version.
    pub evidence: Vec<VersionEvidence>,
    /// Reason for which the new version was stopped, if it was.
    pub stop: Option<String>,
    /// Result of the move; present only in the last message of a watch.
    pub end: Option<MoveEnd>,
}

/// Evidence about a version on a route over the last minute.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionEvidence {
    /// Version that served the requests.
    pub version: VersionName,
    /// Prefix of the route, empty for requests that matched none.
    pub route: String,
    /// Requests that succeeded.
    pub ok: u64,
    /// Requests whose failure is attributed to the version.
    pub failed: u64,
    /// Upper bound of the bucket that holds the 95th percentile of the time to the first
    /// byte, in milliseconds; `None` if there are no requests or it exceeds the last bound.
    #[serde(rename = "p95")]
    pub p95_ms: Option<u64>,
}

impl MoveProgress {
    /// Computes the progress of a move; `share` is the new version's share while the move runs, in
    /// thousandths.
    pub fn new(state: &MoveState, live: &LiveView, share: u32, now: Timestamp) -> Self {
        let stop = live.stops.get(&state.spec.name);
        let phase = phase(state, stop, share, now);
        let share = match (&state.end, phase) {
            (Some(end), _) if end.result == MoveResult::Done => FULL_SHARE_PERMILLE,
            (Some(_), _) | (None, MovePhase::Stopped | MovePhase::Waiting) => 0,
            (None, _) => share,
        };
        Self {
            spec: state.spec.clone(),
            phase,
            share,
            evidence: summarize_evidence(&state.spec, &live.evidence, now),
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
    } else if share >= FULL_SHARE_PERMILLE {
        MovePhase::Watching
    } else {
        MovePhase::Moving
    }
}

fn summarize_evidence(spec: &Move, rows: &[EvidenceRow], now: Timestamp) -> Vec<VersionEvidence> {
    let oldest = (now.0 / EVIDENCE_WINDOW_MS).saturating_sub(PAST_EVIDENCE_WINDOW_COUNT);
    let mut sums: Vec<(VersionEvidence, Vec<u64>)> = Vec::new();
    let recent = rows.iter().filter(|row| row.key.window >= oldest);
    for row in recent.filter(|row| is_relevant(spec, row)) {
        let existing = sums
            .iter()
            .position(|(s, _)| s.version == row.key.version && s.route == row.key.route);
        let index = existing.unwrap_or_else(|| {
            sums.push((empty_evidence(row), Vec::new()));
            sums.len() - 1
        });
        add_row(&mut sums[index], row);
    }
    sums.sort_by(|(a, _), (b, _)| (&a.route, &a.version).cmp(&(&b.route, &b.version)));
    sums.into_iter()
        .map(|(sum, latency)| VersionEvidence {
            p95_ms: p95_bound(&latency),
            ..sum
        })
        .collect()
}

fn is_relevant(spec: &Move, row: &EvidenceRow) -> bool {
    let is_version = row.key.version == spec.from || row.key.version == spec.to;
    is_version && row.key.service == spec.service
}

fn empty_evidence(row: &EvidenceRow) -> VersionEvidence {
    VersionEvidence {
        version: row.key.version.clone(),
        route: row.key.route.clone(),
        ok: 0,
        failed: 0,
        p95_ms: None,
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

fn p95_bound(latency: &[u64]) -> Option<u64> {
    let total: u64 = latency.iter().sum();
    let rank = (total * LATENCY_QUANTILE_PERMILLE).div_ceil(1000);
    let mut seen = 0;
    let index = latency.iter().position(|count| {
        seen += count;
        seen >= rank
    })?;
    (total > 0)
        .then(|| LATENCY_BOUNDS_MS.get(index).copied())
        .flatten()
}

/// Selection of timeline events.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineFilter {
    /// Selects events with this value in one of their fields; `None` selects all.
    pub id: Option<String>,
    /// Earliest wall-clock time of the selected events.
    pub from: Timestamp,
    /// Maximum number of events, of which the newest are kept; zero for the server's limit.
    pub limit: usize,
}

impl TimelineFilter {
    /// Returns whether an event has the wanted time and value; ignores the limit.
    pub fn matches(&self, event: &Event) -> bool {
        let has_value = |id: &String| event.fields.values().any(|value| value == id);
        event.time.wall >= self.from && self.id.as_ref().is_none_or(has_value)
    }
}

/// Events of several processes; in causal order once merged.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timeline {
    /// Collected events.
    pub events: Vec<Event>,
    /// Processes whose events could not be read.
    pub missing: Vec<String>,
}

impl Timeline {
    /// Applies the filter, sorts the events in causal order and removes duplicates.
    pub fn merge(self, filter: &TimelineFilter) -> Self {
        let mut events = self.events;
        events.retain(|event| filter.matches(event));
        events.sort_by(|a, b| (a.time, &a.process, a.seq).cmp(&(b.time, &b.process, b.seq)));
        events.dedup_by(|a, b| a.time == b.time && a.process == b.process && a.seq == b.seq);
        let limit = match filter.limit {
            0 => MAX_TIMELINE_EVENTS,
            limit => limit.min(MAX_TIMELINE_EVENTS),
        };
        events.drain(..events.len().saturating_sub(limit));
        Self {
            events,
            missing: self.missing,
        }
    }
}
