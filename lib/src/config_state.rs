//! Configuration state: the fold over the log's configuration stream.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::ConfigChange;
use crate::Customer;
use crate::CustomerName;
use crate::Endpoint;
use crate::EndpointName;
use crate::Move;
use crate::MoveEnd;
use crate::MoveName;
use crate::MoveResult;
use crate::MoveState;
use crate::Offset;
use crate::Record;
use crate::RecordId;
use crate::Service;
use crate::ServiceName;
use crate::Timestamp;

/// Number of offsets for which verdicts are kept, so that a repeated append is recognized.
const VERDICT_RETENTION_OFFSETS: u64 = 2048;

/// Maximum number of ended moves that stay in the state.
const MAX_ENDED_MOVES: usize = 64;

/// Total of the shares of a service's versions, in thousandths of its traffic.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// An object with the offset of the record that last changed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// Offset of the record that last changed the object.
    pub revision: Offset,
    /// Value of the object.
    pub value: T,
}

/// Decision of the fold about a configuration change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The change has taken effect.
    Accepted,
    /// The object had changed since the revision that the change was made against.
    Conflict {
        /// Revision of the object, `None` when it does not exist.
        current: Option<Offset>,
    },
    /// The change violates a rule.
    Invalid {
        /// Description of the violated rule.
        reason: String,
    },
}

/// The configuration up to an offset.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigState {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// Declared customers.
    pub customers: IndexMap<CustomerName, Versioned<Customer>>,
    /// Declared endpoints.
    pub endpoints: IndexMap<EndpointName, Versioned<Endpoint>>,
    /// Moves, running and recently ended.
    pub moves: IndexMap<MoveName, MoveState>,
    /// Declared services.
    pub services: IndexMap<ServiceName, Versioned<Service>>,
    /// Verdicts on recent records, in log order.
    pub verdicts: IndexMap<RecordId, (Offset, Verdict)>,
}

impl ConfigState {
    /// Applies the record at the next offset.
    ///
    /// Returns the verdict, or `None` when the record holds no configuration change or has
    /// been applied before.
    ///
    /// # Panics
    ///
    /// Panics when the record's offset is not the next one.
    pub fn apply(&mut self, record: &Record) -> Option<Verdict> {
        assert_eq!(record.offset, self.next, "records are applied in order");
        self.next = self.next.next();
        let Body::Config(change) = &record.envelope.body else {
            return None;
        };
        if self.verdicts.contains_key(&record.envelope.id) {
            return None;
        }
        let verdict = self.apply_change(record.offset, record.envelope.at, change);
        self.store_verdict(record.envelope.id, record.offset, verdict.clone());
        Some(verdict)
    }

    /// Returns the running move of a service.
    pub fn running_move(&self, service: &ServiceName) -> Option<&Move> {
        self.moves
            .values()
            .find(|m| m.end.is_none() && m.spec.service == *service)
            .map(|m| &m.spec)
    }

    fn store_verdict(&mut self, id: RecordId, offset: Offset, verdict: Verdict) {
        self.verdicts.insert(id, (offset, verdict));
        let oldest = offset.0.saturating_sub(VERDICT_RETENTION_OFFSETS);
        let expired = self
            .verdicts
            .values()
            .take_while(|(at, _)| at.0 < oldest)
            .count();
        self.verdicts.drain(..expired);
    }

    fn apply_change(&mut self, offset: Offset, at: Timestamp, change: &ConfigChange) -> Verdict {
        match change {
            ConfigChange::CancelMove { name } => {
                let reason = String::from("cancelled by an operator");
                self.end_move(offset, at, name, MoveResult::Cancelled, reason)
            }
            ConfigChange::DeleteCustomer { base, name } => delete(&mut self.customers, name, *base),
            ConfigChange::DeleteEndpoint { base, name } => delete(&mut self.endpoints, name, *base),
            ConfigChange::DeleteService { base, name } => self.delete_service(name, *base),
            ConfigChange::EndMove {
                name,
                result,
                reason,
            } => self.end_move(offset, at, name, *result, reason.clone()),
            ConfigChange::PutCustomer { base, customer } => {
                if customer.weight == 0 {
                    return invalid("a customer's weight must be 1 or more");
                }
                let name = customer.name.clone();
                put(&mut self.customers, name, customer.clone(), *base, offset)
            }
            ConfigChange::PutEndpoint { base, endpoint } => {
                self.put_endpoint(endpoint, *base, offset)
            }
            ConfigChange::PutService { base, service } => self.put_service(service, *base, offset),
            ConfigChange::StartMove { base, spec } => self.start_move(spec, *base),
        }
    }

    fn put_endpoint(&mut self, new: &Endpoint, base: Option<Offset>, offset: Offset) -> Verdict {
        let Some(service) = self.services.get(&new.service) else {
            return invalid("the endpoint's service does not exist");
        };
        if !service.value.versions.contains_key(&new.version) {
            return invalid("the endpoint's version does not exist");
        }
        put(
            &mut self.endpoints,
            new.name.clone(),
            new.clone(),
            base,
            offset,
        )
    }

    fn put_service(&mut self, new: &Service, base: Option<Offset>, offset: Offset) -> Verdict {
        if let Some(reason) = check_service(new) {
            return invalid(reason);
        }
        if let Some(spec) = self.running_move(&new.name) {
            let is_kept =
                new.versions.contains_key(&spec.from) && new.versions.contains_key(&spec.to);
            if !is_kept {
                return invalid("a running move uses a version that the change removes");
            }
        }
        put(
            &mut self.services,
            new.name.clone(),
            new.clone(),
            base,
            offset,
        )
    }

    fn delete_service(&mut self, name: &ServiceName, base: Offset) -> Verdict {
        if self.running_move(name).is_some() {
            return invalid("a move of the service is running");
        }
        let verdict = delete(&mut self.services, name, base);
        if verdict == Verdict::Accepted {
            self.endpoints.retain(|_, e| e.value.service != *name);
        }
        verdict
    }

    fn start_move(&mut self, spec: &Move, base: Offset) -> Verdict {
        if self.moves.contains_key(&spec.name) {
            return invalid("a move of this name exists");
        }
        let Some(service) = self.services.get(&spec.service) else {
            return invalid("the move's service does not exist");
        };
        if service.revision != base {
            return Verdict::Conflict {
                current: Some(service.revision),
            };
        }
        if self.running_move(&spec.service).is_some() {
            return invalid("another move of the service is running");
        }
        if let Some(reason) = check_move(spec, &service.value) {
            return invalid(reason);
        }
        let state = MoveState {
            spec: spec.clone(),
            end: None,
        };
        self.moves.insert(spec.name.clone(), state);
        self.prune_ended_moves();
        Verdict::Accepted
    }

    /// Drops the oldest ended moves beyond [`MAX_ENDED_MOVES`].
    fn prune_ended_moves(&mut self) {
        let ended = self.moves.values().filter(|m| m.end.is_some()).count();
        let mut excess = ended.saturating_sub(MAX_ENDED_MOVES);
        self.moves.retain(|_, m| {
            let is_dropped = excess > 0 && m.end.is_some();
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }

    fn end_move(
        &mut self,
        offset: Offset,
        at: Timestamp,
        name: &MoveName,
        result: MoveResult,
        reason: String,
    ) -> Verdict {
        let Some(state) = self.moves.get_mut(name) else {
            return invalid("no such move");
        };
        if state.end.is_some() {
            return invalid("the move has ended");
        }
        state.end = Some(MoveEnd { result, reason, at });
        let spec = state.spec.clone();
        if result == MoveResult::Done {
            self.assign_full_share(&spec, offset);
        }
        Verdict::Accepted
    }

    /// Assigns all traffic of the service to the version to which the move went.
    fn assign_full_share(&mut self, spec: &Move, offset: Offset) {
        let Some(service) = self.services.get_mut(&spec.service) else {
            return;
        };
        for (name, version) in &mut service.value.versions {
            version.share = if *name == spec.to {
                FULL_SHARE_PERMILLE
            } else {
                0
            };
        }
        service.revision = offset;
    }
}

fn invalid(reason: &str) -> Verdict {
    Verdict::Invalid {
        reason: reason.to_owned(),
    }
}

/// Returns the rule that a service violates, if any.
fn check_service(service: &Service) -> Option<&'static str> {
    if service.versions.is_empty() {
        return Some("a service needs at least one version");
    }
    let total: u64 = service.versions.values().map(|v| u64::from(v.share)).sum();
    (total != u64::from(FULL_SHARE_PERMILLE))
        .then_some("the shares of the versions must add up to 1000")
}

/// Returns the rule that a move violates, if any.
fn check_move(spec: &Move, service: &Service) -> Option<&'static str> {
    if !service.versions.contains_key(&spec.from) || !service.versions.contains_key(&spec.to) {
        return Some("the move names a version that does not exist");
    }
    if spec.from == spec.to {
        return Some("the move's versions are the same");
    }
    (spec.deadline <= spec.start).then_some("the move's deadline is not after its start")
}

fn put<K, T>(
    objects: &mut IndexMap<K, Versioned<T>>,
    key: K,
    value: T,
    base: Option<Offset>,
    revision: Offset,
) -> Verdict
where
    K: Eq + std::hash::Hash,
{
    let current = objects.get(&key).map(|o| o.revision);
    if current != base {
        return Verdict::Conflict { current };
    }
    objects.insert(key, Versioned { revision, value });
    Verdict::Accepted
}

fn delete<K, T>(objects: &mut IndexMap<K, Versioned<T>>, key: &K, base: Offset) -> Verdict
where
    K: Eq + std::hash::Hash,
{
    let current = objects.get(key).map(|o| o.revision);
    if current != Some(base) {
        return Verdict::Conflict { current };
    }
    objects.shift_remove(key);
    Verdict::Accepted
}
