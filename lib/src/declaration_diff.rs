//! Changes that lead from the configuration in force to the declared one.

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Declarations;
use crate::MoveResult;
use crate::Offset;
use crate::Service;
use crate::SharePolicy;
use crate::Versioned;
use crate::WantedService;

/// What a change does to its object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Creates it.
    Create,
    /// Deletes it.
    Delete,
    /// Replaces it.
    Replace,
}

/// A field whose value changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field.
    pub field: String,
    /// Value in force, `None` when absent.
    pub old: Option<Value>,
    /// Declared value, `None` when absent.
    pub new: Option<Value>,
}

/// One change with what a reader needs to judge it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// What it does.
    pub action: Action,
    /// Kind of object: `service`, `endpoint` or `customer`.
    pub kind: &'static str,
    /// Name of the object.
    pub name: String,
    /// Fields that change, for replacements.
    pub fields: Vec<FieldChange>,
    /// Why applying the change would bypass a move, if it would.
    pub hazard: Option<String>,
    /// The change with the revision that it is made against.
    pub change: ConfigChange,
}

/// Returns the changes that lead from the configuration in force to the declared one.
///
/// Services come before the endpoints that name them, and endpoints are deleted before their
/// services; within a kind the order is by name. Endpoints of a service with `replicas` are the
/// fleet's, and are not deleted for want of a declaration.
pub fn diff(current: &ConfigState, wanted: &Declarations) -> Vec<Change> {
    let mut changes = Vec::new();
    let services: IndexMap<_, _> = wanted
        .services
        .iter()
        .map(|(name, w)| (name.clone(), resolve(current, w)))
        .collect();
    changes.extend(puts(
        "service",
        &current.services,
        &services,
        |base, value| ConfigChange::PutService {
            base,
            service: value.clone(),
        },
    ));
    for change in &mut changes {
        change.hazard = hazard(current, &change.change);
    }
    changes.extend(puts(
        "endpoint",
        &current.endpoints,
        &wanted.endpoints,
        |base, value| ConfigChange::PutEndpoint {
            base,
            endpoint: value.clone(),
        },
    ));
    changes.extend(puts(
        "customer",
        &current.customers,
        &wanted.customers,
        |base, value| ConfigChange::PutCustomer {
            base,
            customer: value.clone(),
        },
    ));
    changes.extend(deletions(current, wanted));
    changes
}

fn deletions(current: &ConfigState, wanted: &Declarations) -> Vec<Change> {
    let of_fleet = |service| {
        let declared = wanted.services.get(service);
        declared.is_some_and(|w| w.service.replicas > 0)
    };
    let endpoints = current
        .endpoints
        .iter()
        .filter(|(name, _)| !wanted.endpoints.contains_key(*name))
        .filter(|(_, endpoint)| !of_fleet(&endpoint.value.service))
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
        .filter(|(name, _)| !wanted.services.contains_key(*name))
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
        .filter(|(name, _)| !wanted.customers.contains_key(*name))
        .map(|(name, customer)| {
            let change = ConfigChange::DeleteCustomer {
                base: customer.revision,
                name: name.clone(),
            };
            deletion("customer", name, change)
        });
    [
        by_name(endpoints.collect()),
        by_name(services.collect()),
        by_name(customers.collect()),
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

fn by_name(mut changes: Vec<Change>) -> Vec<Change> {
    changes.sort_by(|a, b| a.name.cmp(&b.name));
    changes
}

fn puts<K, T>(
    kind: &'static str,
    current: &IndexMap<K, Versioned<T>>,
    wanted: &IndexMap<K, T>,
    put: impl Fn(Option<Offset>, &T) -> ConfigChange,
) -> Vec<Change>
where
    K: Eq + std::hash::Hash + ToString,
    T: PartialEq + Serialize,
{
    let mut changes = Vec::new();
    for (name, value) in wanted {
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
    by_name(changes)
}

/// Returns the declared service, with the shares in force where the file leaves them out.
fn resolve(current: &ConfigState, wanted: &WantedService) -> Service {
    let mut service = wanted.service.clone();
    let known = current.services.get(&service.name);
    let (SharePolicy::Kept, Some(known)) = (wanted.shares, known) else {
        return service;
    };
    for (name, version) in &mut service.versions {
        version.share = known.value.versions.get(name).map_or(0, |v| v.share);
    }
    service
}

/// Tells why a change of shares would bypass a move.
fn hazard(current: &ConfigState, change: &ConfigChange) -> Option<String> {
    let ConfigChange::PutService { service, .. } = change else {
        return None;
    };
    let known = &current.services.get(&service.name)?.value;
    let moved = service.versions.iter().any(|(name, version)| {
        let share = known.versions.get(name).map_or(0, |v| v.share);
        share != version.share
    });
    if !moved {
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
    let lost = service.versions.get(to).map_or(0, |v| v.share) < known.versions.get(to)?.share;
    let reason = format!("move {} brought the traffic to {to}", done.spec.name);
    lost.then_some(reason)
}

fn field_changes<T: Serialize>(old: &T, new: &T) -> Vec<FieldChange> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut changes = Vec::new();
    compare("", Some(&old), Some(&new), &mut changes);
    changes
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<FieldChange>) {
    if old == new {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (old, new) {
        let added = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(added) {
            compare(&join(path, key), old.get(key), new.get(key), changes);
        }
        return;
    }
    if let (Some(Value::Array(old)), Some(Value::Array(new))) = (old, new) {
        for index in 0..old.len().max(new.len()) {
            let path = format!("{path}[{index}]");
            compare(&path, old.get(index), new.get(index), changes);
        }
        return;
    }
    changes.push(FieldChange {
        field: path.to_owned(),
        old: old.cloned(),
        new: new.cloned(),
    });
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
