//! Computes the changes that turn the configuration in force into the declared one.

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Declarations;
use crate::DeclaredService;
use crate::MoveResult;
use crate::Offset;
use crate::Service;
use crate::SharePolicy;
use crate::Versioned;

/// What a change does to its object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Creates the object.
    Create,
    /// Deletes the object.
    Delete,
    /// Replaces the object.
    Replace,
}

/// Change of one field of an object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field, as in `routes[0].prefix`.
    pub field: String,
    /// Value in force, `None` when absent.
    pub old: Option<Value>,
    /// Declared value, `None` when absent.
    pub new: Option<Value>,
}

/// One change, with the details that an operator needs to review it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// What the change does to the object.
    pub action: Action,
    /// Kind of object: `service`, `endpoint` or `customer`.
    pub kind: &'static str,
    /// Name of the object.
    pub name: String,
    /// Fields that change; empty unless the object is replaced.
    pub fields: Vec<FieldChange>,
    /// Reason why the change would bypass a move, `None` if it would not.
    pub hazard: Option<String>,
    /// Change to submit, with the revision that it is based on.
    pub change: ConfigChange,
}

/// Returns the changes that turn the configuration in force into the declared one.
///
/// Services are created or replaced before the endpoints that refer to them, and endpoints are
/// deleted before their services; changes of one kind are sorted by name. The fleet manages the
/// endpoints of a service with `replicas`, so these are not deleted when no file declares them.
pub fn diff(current: &ConfigState, declared: &Declarations) -> Vec<Change> {
    let mut changes = Vec::new();
    let services: IndexMap<_, _> = declared
        .services
        .iter()
        .map(|(name, service)| (name.clone(), resolve_shares(current, service)))
        .collect();
    changes.extend(put_changes(
        "service",
        &current.services,
        &services,
        |base, value| ConfigChange::PutService {
            base,
            service: value.clone(),
        },
    ));
    for change in &mut changes {
        change.hazard = move_bypass_reason(current, &change.change);
    }
    changes.extend(put_changes(
        "endpoint",
        &current.endpoints,
        &declared.endpoints,
        |base, value| ConfigChange::PutEndpoint {
            base,
            endpoint: value.clone(),
        },
    ));
    changes.extend(put_changes(
        "customer",
        &current.customers,
        &declared.customers,
        |base, value| ConfigChange::PutCustomer {
            base,
            customer: value.clone(),
        },
    ));
    changes.extend(deletions(current, declared));
    changes
}

fn deletions(current: &ConfigState, declared: &Declarations) -> Vec<Change> {
    let is_fleet_managed = |service| {
        let known = declared.services.get(service);
        known.is_some_and(|k| k.service.replicas > 0)
    };
    let endpoints = current
        .endpoints
        .iter()
        .filter(|(name, _)| !declared.endpoints.contains_key(*name))
        .filter(|(_, endpoint)| !is_fleet_managed(&endpoint.value.service))
        .map(|(name, endpoint)| {
            let change = ConfigChange::DeleteEndpoint {
                base: endpoint.revision,
                name: name.clone(),
            };
            deletion("endpoint", name, change)
        });
    let services = current
        .services
        .iter()
        .filter(|(name, _)| !declared.services.contains_key(*name))
        .map(|(name, service)| {
            let change = ConfigChange::DeleteService {
                base: service.revision,
                name: name.clone(),
            };
            deletion("service", name, change)
        });
    let customers = current
        .customers
        .iter()
        .filter(|(name, _)| !declared.customers.contains_key(*name))
        .map(|(name, customer)| {
            let change = ConfigChange::DeleteCustomer {
                base: customer.revision,
                name: name.clone(),
            };
            deletion("customer", name, change)
        });
    [
        sorted_by_name(endpoints.collect()),
        sorted_by_name(services.collect()),
        sorted_by_name(customers.collect()),
    ]
    .concat()
}

fn deletion(kind: &'static str, name: &dyn ToString, change: ConfigChange) -> Change {
    Change {
        action: Action::Delete,
        kind,
        name: name.to_string(),
        fields: Vec::new(),
        hazard: None,
        change,
    }
}

fn sorted_by_name(mut changes: Vec<Change>) -> Vec<Change> {
    changes.sort_by(|a, b| a.name.cmp(&b.name));
    changes
}

fn put_changes<K, T>(
    kind: &'static str,
    current: &IndexMap<K, Versioned<T>>,
    declared: &IndexMap<K, T>,
    put: impl Fn(Option<Offset>, &T) -> ConfigChange,
) -> Vec<Change>
where
    K: Eq + std::hash::Hash + ToString,
    T: PartialEq + Serialize,
{
    let mut changes = Vec::new();
    for (name, value) in declared {
        let known = current.get(name);
        if known.is_some_and(|known| known.value == *value) {
            continue;
        }
        changes.push(Change {
            action: known.map_or(Action::Create, |_| Action::Replace),
            kind,
            name: name.to_string(),
            fields: known.map_or_else(Vec::new, |known| field_changes(&known.value, value)),
            hazard: None,
            change: put(known.map(|known| known.revision), value),
        });
    }
    sorted_by_name(changes)
}

/// Returns the declared service, with the shares in force where the file declares none.
fn resolve_shares(current: &ConfigState, declared: &DeclaredService) -> Service {
    let mut service = declared.service.clone();
    let known = current.services.get(&service.name);
    let (SharePolicy::Kept, Some(known)) = (declared.shares, known) else {
        return service;
    };
    for (name, version) in &mut service.versions {
        version.share = known.value.versions.get(name).map_or(0, |v| v.share);
    }
    service
}

/// Returns the reason why a change of shares would bypass a move, if it would.
///
/// That is so while a move of the service runs, and when the change takes traffic away from the
/// version to which the newest completed move brought it.
fn move_bypass_reason(current: &ConfigState, change: &ConfigChange) -> Option<String> {
    let ConfigChange::PutService { service, .. } = change else {
        return None;
    };
    let known = &current.services.get(&service.name)?.value;
    let is_changed = service.versions.iter().any(|(name, version)| {
        let share = known.versions.get(name).map_or(0, |v| v.share);
        share != version.share
    });
    if !is_changed {
        return None;
    }
    if let Some(running) = current.running_move(&service.name) {
        return Some(format!("move {} of this service is running", running.name));
    }
    let done = current.moves.values().rev().find(|state| {
        let end = state.end.as_ref();
        let done = end.is_some_and(|end| end.result == MoveResult::Done);
        done && state.spec.service == service.name
    })?;
    let to = &done.spec.to;
    let loses_traffic =
        service.versions.get(to).map_or(0, |v| v.share) < known.versions.get(to)?.share;
    let reason = format!("move {} brought the traffic to {to}", done.spec.name);
    loses_traffic.then_some(reason)
}

fn field_changes<T: Serialize>(old: &T, new: &T) -> Vec<FieldChange> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut changes = Vec::new();
    collect_field_changes("", Some(&old), Some(&new), &mut changes);
    changes
}

fn collect_field_changes(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<FieldChange>,
) {
    if old == new {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (old, new) {
        let added = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(added) {
            collect_field_changes(&join_path(path, key), old.get(key), new.get(key), changes);
        }
        return;
    }
    if let (Some(Value::Array(old)), Some(Value::Array(new))) = (old, new) {
        for index in 0..old.len().max(new.len()) {
            let path = format!("{path}[{index}]");
            collect_field_changes(&path, old.get(index), new.get(index), changes);
        }
        return;
    }
    changes.push(FieldChange {
        field: path.to_owned(),
        old: old.cloned(),
        new: new.cloned(),
    });
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
