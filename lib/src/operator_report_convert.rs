//! Conversions between the messages of the operator RPC and the reports for operators.

use crate::EntryRow;
use crate::Epoch;
use crate::Event;
use crate::FieldError;
use crate::GateInfo;
use crate::HybridTime;
use crate::LeaseRow;
use crate::LeavingVm;
use crate::Member;
use crate::MemberState;
use crate::MovePhase;
use crate::MoveProgress;
use crate::NodeReport;
use crate::NodeState;
use crate::Offset;
use crate::Stop;
use crate::StopRow;
use crate::Timeline;
use crate::TimelineFilter;
use crate::Timestamp;
use crate::VersionEvidence;
use crate::operator_convert::map_enum;
use crate::operator_convert::parse;
use crate::operator_convert::required;
use crate::operator_proto as proto;

map_enum!("member.state", MemberState, [Alive, Dead, Leaving, Suspect]);
map_enum!(
    "progress.phase",
    MovePhase,
    [Ended, Moving, Stopped, Waiting, Watching]
);

fn convert_all<M, T>(messages: Vec<M>) -> Result<Vec<T>, FieldError>
where
    T: TryFrom<M, Error = FieldError>,
{
    messages.into_iter().map(TryInto::try_into).collect()
}

impl From<&NodeReport> for proto::StatusReply {
    fn from(report: &NodeReport) -> Self {
        Self {
            node: report.state.node.to_string(),
            ready: report.state.ready,
            next: report.next.0,
            log_reachable: report.state.log_reachable,
            members: report.members.iter().map(Into::into).collect(),
            leases: report.state.leases.iter().map(Into::into).collect(),
            leaving: report.leaving.iter().map(Into::into).collect(),
            stops: report.stops.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::StatusReply> for NodeReport {
    type Error = FieldError;

    fn try_from(message: proto::StatusReply) -> Result<Self, FieldError> {
        Ok(Self {
            state: NodeState {
                node: parse("node", &message.node)?,
                ready: message.ready,
                log_reachable: message.log_reachable,
                leases: convert_all(message.leases)?,
            },
            next: Offset(message.next),
            members: convert_all(message.members)?,
            leaving: convert_all(message.leaving)?,
            stops: convert_all(message.stops)?,
        })
    }
}

impl From<&Member> for proto::Member {
    fn from(member: &Member) -> Self {
        let gate = member.gate.as_ref().map(|gate| proto::Gate {
            callers: gate.callers.to_string(),
            rpc: gate.rpc.to_string(),
            accepting: gate.accepting,
            load: gate.load,
        });
        Self {
            node: member.node.to_string(),
            domain: member.domain.to_string(),
            region: member.region.to_string(),
            controller: member.controller.to_string(),
            gate,
            state: proto::MemberState::from(member.state).into(),
        }
    }
}

impl TryFrom<proto::Member> for Member {
    type Error = FieldError;

    fn try_from(message: proto::Member) -> Result<Self, FieldError> {
        let state = message.state().try_into()?;
        let gate = message.gate.map(|gate| {
            Ok::<GateInfo, FieldError>(GateInfo {
                callers: parse("gate.callers", &gate.callers)?,
                rpc: parse("gate.rpc", &gate.rpc)?,
                accepting: gate.accepting,
                load: gate.load,
            })
        });
        Ok(Self {
            node: parse("member.node", &message.node)?,
            domain: parse("member.domain", &message.domain)?,
            region: parse("member.region", &message.region)?,
            controller: parse("member.controller", &message.controller)?,
            gate: gate.transpose()?,
            state,
        })
    }
}

impl From<&LeaseRow> for proto::Lease {
    fn from(lease: &LeaseRow) -> Self {
        Self {
            duty: lease.duty.clone(),
            holder: lease.holder.to_string(),
            epoch: lease.epoch.0,
        }
    }
}

impl TryFrom<proto::Lease> for LeaseRow {
    type Error = FieldError;

    fn try_from(message: proto::Lease) -> Result<Self, FieldError> {
        Ok(Self {
            duty: message.duty,
            holder: parse("lease.holder", &message.holder)?,
            epoch: Epoch(message.epoch),
        })
    }
}

impl From<&LeavingVm> for proto::LeavingVm {
    fn from(row: &LeavingVm) -> Self {
        Self {
            vm: row.vm.to_string(),
            deadline_ms: row.deadline.0,
        }
    }
}

impl TryFrom<proto::LeavingVm> for LeavingVm {
    type Error = FieldError;

    fn try_from(message: proto::LeavingVm) -> Result<Self, FieldError> {
        Ok(Self {
            vm: parse("leaving.vm", &message.vm)?,
            deadline: Timestamp(message.deadline_ms),
        })
    }
}

impl From<&StopRow> for proto::Stop {
    fn from(row: &StopRow) -> Self {
        Self {
            r#move: row.name.to_string(),
            reason: row.stop.reason.clone(),
            at_ms: row.stop.at.0,
        }
    }
}

impl TryFrom<proto::Stop> for StopRow {
    type Error = FieldError;

    fn try_from(message: proto::Stop) -> Result<Self, FieldError> {
        Ok(Self {
            name: parse("stop.move", &message.r#move)?,
            stop: Stop {
                reason: message.reason,
                at: Timestamp(message.at_ms),
            },
        })
    }
}

impl From<&EntryRow> for proto::Entry {
    fn from(row: &EntryRow) -> Self {
        Self {
            node: row.node.to_string(),
            domain: row.domain.to_string(),
            address: row.address.to_string(),
            load: row.load,
        }
    }
}

impl TryFrom<proto::Entry> for EntryRow {
    type Error = FieldError;

    fn try_from(message: proto::Entry) -> Result<Self, FieldError> {
        Ok(Self {
            node: parse("entry.node", &message.node)?,
            domain: parse("entry.domain", &message.domain)?,
            address: parse("entry.address", &message.address)?,
            load: message.load,
        })
    }
}

impl From<&MoveProgress> for proto::MoveProgress {
    fn from(progress: &MoveProgress) -> Self {
        Self {
            r#move: Some((&progress.spec).into()),
            phase: proto::MovePhase::from(progress.phase).into(),
            share: progress.share,
            evidence: progress.evidence.iter().map(Into::into).collect(),
            stop_reason: progress.stop.clone().unwrap_or_default(),
            end: progress.end.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<proto::MoveProgress> for MoveProgress {
    type Error = FieldError;

    fn try_from(message: proto::MoveProgress) -> Result<Self, FieldError> {
        let phase = message.phase().try_into()?;
        let stopped = !message.stop_reason.is_empty();
        Ok(Self {
            spec: required("progress.move", message.r#move)?.try_into()?,
            phase,
            share: message.share,
            evidence: convert_all(message.evidence)?,
            stop: stopped.then_some(message.stop_reason),
            end: message.end.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<&VersionEvidence> for proto::VersionEvidence {
    fn from(evidence: &VersionEvidence) -> Self {
        Self {
            version: evidence.version.to_string(),
            route: evidence.route.clone(),
            ok: evidence.ok,
            failed: evidence.failed,
            p95_ms: evidence.p95_ms,
        }
    }
}

impl TryFrom<proto::VersionEvidence> for VersionEvidence {
    type Error = FieldError;

    fn try_from(message: proto::VersionEvidence) -> Result<Self, FieldError> {
        Ok(Self {
            version: parse("evidence.version", &message.version)?,
            route: message.route,
            ok: message.ok,
            failed: message.failed,
            p95_ms: message.p95_ms,
        })
    }
}

impl From<&TimelineFilter> for proto::TimelineRequest {
    fn from(filter: &TimelineFilter) -> Self {
        Self {
            id: filter.id.clone().unwrap_or_default(),
            from_ms: filter.from.0,
            limit: u32::try_from(filter.limit).unwrap_or(u32::MAX),
        }
    }
}

impl From<proto::TimelineRequest> for TimelineFilter {
    fn from(message: proto::TimelineRequest) -> Self {
        Self {
            id: (!message.id.is_empty()).then_some(message.id),
            from: Timestamp(message.from_ms),
            limit: message.limit as usize,
        }
    }
}

impl From<&Timeline> for proto::TimelineReply {
    fn from(timeline: &Timeline) -> Self {
        Self {
            events: timeline.events.iter().map(Into::into).collect(),
            missing: timeline.missing.clone(),
        }
    }
}

impl From<proto::TimelineReply> for Timeline {
    fn from(message: proto::TimelineReply) -> Self {
        Self {
            events: message.events.into_iter().map(Into::into).collect(),
            missing: message.missing,
        }
    }
}

impl From<&Event> for proto::Event {
    fn from(event: &Event) -> Self {
        let fields = event.fields.iter().map(|(name, value)| proto::Field {
            name: name.clone(),
            value: value.clone(),
        });
        Self {
            process: event.process.clone(),
            seq: event.seq,
            wall_ms: event.time.wall.0,
            count: event.time.count,
            what: event.what.clone(),
            fields: fields.collect(),
        }
    }
}

impl From<proto::Event> for Event {
    fn from(message: proto::Event) -> Self {
        let fields = message.fields.into_iter().map(|f| (f.name, f.value));
        Self {
            process: message.process,
            seq: message.seq,
            time: HybridTime {
                wall: Timestamp(message.wall_ms),
                count: message.count,
            },
            what: message.what,
            fields: fields.collect(),
        }
    }
}
