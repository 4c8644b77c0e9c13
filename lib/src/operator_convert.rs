//! Conversions between the messages of the operator RPC and services, endpoints, customers and
//! moves.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error as ThisError;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Customer;
use crate::Endpoint;
use crate::Error;
use crate::ErrorKind;
use crate::KeySupport;
use crate::Move;
use crate::MoveEnd;
use crate::MoveResult;
use crate::MoveState;
use crate::Offset;
use crate::Priority;
use crate::Route;
use crate::Service;
use crate::ServiceKind;
use crate::Timestamp;
use crate::Verdict;
use crate::Version;
use crate::Versioned;
use crate::millis;
use crate::operator_proto as proto;
use crate::operator_proto::apply_request::Change;
use crate::operator_proto::verdict::Verdict as ProtoVerdict;

/// A message field that is missing or invalid.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, ThisError)]
pub enum FieldError {
    /// {0} is missing
    Missing(&'static str),
    /// {0} holds no known value; expected an enum value other than UNSPECIFIED
    UnknownValue(&'static str),
    /// {field} cannot be read: {problem}
    BadValue {
        /// Path of the field within the request.
        field: &'static str,
        /// Description of the problem, for the operator.
        problem: String,
    },
    /// {0} is given twice: {1}
    Duplicate(&'static str, String),
}

impl From<FieldError> for Error {
    fn from(error: FieldError) -> Self {
        Self::new(ErrorKind::BadRequest, error.to_string())
    }
}

/// Parses a text field.
pub(crate) fn parse<T>(field: &'static str, text: &str) -> Result<T, FieldError>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse().map_err(|error: T::Err| FieldError::BadValue {
        field,
        problem: format!("{error} ({text:?})"),
    })
}

/// Returns the value of a mandatory message field.
pub(crate) fn required<T>(field: &'static str, value: Option<T>) -> Result<T, FieldError> {
    value.ok_or(FieldError::Missing(field))
}

/// Implements the conversions between an enum and its namesake in the schema, which has the same
/// variants and `Unspecified`.
macro_rules! map_enum {
    ($field:literal, $name:ident, [$($variant:ident),* $(,)?]) => {
        impl From<$name> for $crate::operator_proto::$name {
            fn from(value: $name) -> Self {
                match value {
                    $($name::$variant => Self::$variant,)*
                }
            }
        }

        impl TryFrom<$crate::operator_proto::$name> for $name {
            type Error = $crate::FieldError;

            fn try_from(value: $crate::operator_proto::$name) -> Result<Self, Self::Error> {
                match value {
                    $($crate::operator_proto::$name::$variant => Ok(Self::$variant),)*
                    $crate::operator_proto::$name::Unspecified => {
                        Err($crate::FieldError::UnknownValue($field))
                    }
                }
            }
        }
    };
}

pub(crate) use map_enum;

map_enum!("service.kind", ServiceKind, [Model, Plain]);
map_enum!("service.keys", KeySupport, [Honoured, Ignored, Lookup]);
map_enum!("route.priority", Priority, [Deferred, Interactive]);
map_enum!("end.result", MoveResult, [Cancelled, Done, TakenBack]);

impl From<&Service> for proto::Service {
    fn from(service: &Service) -> Self {
        let versions = service.versions.iter().map(|(name, v)| proto::Version {
            name: name.to_string(),
            model: v.model.clone(),
            share: v.share,
        });
        Self {
            name: service.name.to_string(),
            kind: proto::ServiceKind::from(service.kind).into(),
            versions: versions.collect(),
            routes: service.routes.iter().map(Into::into).collect(),
            keys: proto::KeySupport::from(service.keys).into(),
            fenced: service.fenced,
            target_ms: millis(service.target),
            replicas: service.replicas,
        }
    }
}

impl TryFrom<proto::Service> for Service {
    type Error = FieldError;

    fn try_from(message: proto::Service) -> Result<Self, FieldError> {
        let kind = message.kind().try_into()?;
        let keys = message.keys().try_into()?;
        let mut versions = indexmap::IndexMap::new();
        for version in message.versions {
            let name = parse("service.versions.name", &version.name)?;
            let value = Version {
                model: version.model,
                share: version.share,
            };
            if versions.insert(name, value).is_some() {
                return Err(FieldError::Duplicate("service.versions", version.name));
            }
        }
        let routes: Result<Vec<Route>, FieldError> =
            message.routes.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            name: parse("service.name", &message.name)?,
            kind,
            versions,
            routes: routes?,
            keys,
            fenced: message.fenced,
            target: Duration::from_millis(message.target_ms),
            replicas: message.replicas,
        })
    }
}

impl From<&Route> for proto::Route {
    fn from(route: &Route) -> Self {
        Self {
            prefix: route.prefix.clone(),
            repeatable: route.repeatable,
            priority: proto::Priority::from(route.priority).into(),
            timeout_ms: millis(route.timeout),
        }
    }
}

impl TryFrom<proto::Route> for Route {
    type Error = FieldError;

    fn try_from(message: proto::Route) -> Result<Self, FieldError> {
        let priority = message.priority().try_into()?;
        if message.timeout_ms == 0 {
            return Err(FieldError::BadValue {
                field: "route.timeout_ms",
                problem: String::from("the timeout must be at least 1 ms"),
            });
        }
        Ok(Self {
            prefix: message.prefix,
            repeatable: message.repeatable,
            priority,
            timeout: Duration::from_millis(message.timeout_ms),
        })
    }
}

impl From<&Endpoint> for proto::Endpoint {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            name: endpoint.name.to_string(),
            service: endpoint.service.to_string(),
            version: endpoint.version.to_string(),
            address: endpoint.address.to_string(),
            vm: endpoint.vm.to_string(),
            domain: endpoint.domain.to_string(),
        }
    }
}

impl TryFrom<proto::Endpoint> for Endpoint {
    type Error = FieldError;

    fn try_from(message: proto::Endpoint) -> Result<Self, FieldError> {
        Ok(Self {
            name: parse("endpoint.name", &message.name)?,
            service: parse("endpoint.service", &message.service)?,
            version: parse("endpoint.version", &message.version)?,
            address: parse("endpoint.address", &message.address)?,
            vm: parse("endpoint.vm", &message.vm)?,
            domain: parse("endpoint.domain", &message.domain)?,
        })
    }
}

impl From<&Customer> for proto::Customer {
    fn from(customer: &Customer) -> Self {
        Self {
            name: customer.name.to_string(),
            tokens: customer.tokens.clone(),
            weight: customer.weight,
        }
    }
}

impl TryFrom<proto::Customer> for Customer {
    type Error = FieldError;

    fn try_from(message: proto::Customer) -> Result<Self, FieldError> {
        let invalid_hash = message.tokens.iter().find(|t| !crate::is_token_hash(t));
        if invalid_hash.is_some() {
            // The value is not included: it may be a token that was given instead of its hash.
            return Err(FieldError::BadValue {
                field: "customer.tokens",
                problem: String::from("expected 64 lower-case hexadecimal digits (SHA-256)"),
            });
        }
        Ok(Self {
            name: parse("customer.name", &message.name)?,
            tokens: message.tokens,
            weight: message.weight,
        })
    }
}

impl From<&Move> for proto::Move {
    fn from(spec: &Move) -> Self {
        Self {
            name: spec.name.to_string(),
            service: spec.service.to_string(),
            from: spec.from.to_string(),
            to: spec.to.to_string(),
            start_ms: spec.start.0,
            deadline_ms: spec.deadline.0,
        }
    }
}

impl TryFrom<proto::Move> for Move {
    type Error = FieldError;

    fn try_from(message: proto::Move) -> Result<Self, FieldError> {
        Ok(Self {
            name: parse("move.name", &message.name)?,
            service: parse("move.service", &message.service)?,
            from: parse("move.from", &message.from)?,
            to: parse("move.to", &message.to)?,
            start: Timestamp(message.start_ms),
            deadline: Timestamp(message.deadline_ms),
        })
    }
}

impl From<&MoveEnd> for proto::MoveEnd {
    fn from(end: &MoveEnd) -> Self {
        Self {
            result: proto::MoveResult::from(end.result).into(),
            reason: end.reason.clone(),
            at_ms: end.at.0,
        }
    }
}

impl TryFrom<proto::MoveEnd> for MoveEnd {
    type Error = FieldError;

    fn try_from(message: proto::MoveEnd) -> Result<Self, FieldError> {
        Ok(Self {
            result: message.result().try_into()?,
            reason: message.reason,
            at: Timestamp(message.at_ms),
        })
    }
}

impl From<&MoveState> for proto::MoveRecord {
    fn from(state: &MoveState) -> Self {
        Self {
            r#move: Some((&state.spec).into()),
            end: state.end.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<proto::MoveRecord> for MoveState {
    type Error = FieldError;

    fn try_from(message: proto::MoveRecord) -> Result<Self, FieldError> {
        Ok(Self {
            spec: required("move", message.r#move)?.try_into()?,
            end: message.end.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<&ConfigState> for proto::Configuration {
    fn from(state: &ConfigState) -> Self {
        let services = state.services.values().map(|s| proto::ServiceRevision {
            revision: s.revision.0,
            service: Some((&s.value).into()),
        });
        let endpoints = state.endpoints.values().map(|e| proto::EndpointRevision {
            revision: e.revision.0,
            endpoint: Some((&e.value).into()),
        });
        let customers = state.customers.values().map(|c| proto::CustomerRevision {
            revision: c.revision.0,
            customer: Some((&c.value).into()),
        });
        Self {
            next: state.next.0,
            services: services.collect(),
            endpoints: endpoints.collect(),
            customers: customers.collect(),
            moves: state.moves.values().map(Into::into).collect(),
        }
    }
}

fn convert_versioned<T, M>(
    field: &'static str,
    revision: u64,
    value: Option<M>,
) -> Result<Versioned<T>, FieldError>
where
    T: TryFrom<M, Error = FieldError>,
{
    Ok(Versioned {
        revision: Offset(revision),
        value: required(field, value)?.try_into()?,
    })
}

/// Converts a configuration without its verdicts, which the message does not carry.
impl TryFrom<proto::Configuration> for ConfigState {
    type Error = FieldError;

    fn try_from(message: proto::Configuration) -> Result<Self, FieldError> {
        let mut state = Self {
            next: Offset(message.next),
            ..Self::default()
        };
        for row in message.services {
            let object: Versioned<Service> =
                convert_versioned("service", row.revision, row.service)?;
            state.services.insert(object.value.name.clone(), object);
        }
        for row in message.endpoints {
            let object: Versioned<Endpoint> =
                convert_versioned("endpoint", row.revision, row.endpoint)?;
            state.endpoints.insert(object.value.name.clone(), object);
        }
        for row in message.customers {
            let object: Versioned<Customer> =
                convert_versioned("customer", row.revision, row.customer)?;
            state.customers.insert(object.value.name.clone(), object);
        }
        for row in message.moves {
            let object: MoveState = row.try_into()?;
            state.moves.insert(object.spec.name.clone(), object);
        }
        Ok(state)
    }
}

/// Converts a change of a service, endpoint or customer.
impl TryFrom<proto::ApplyRequest> for ConfigChange {
    type Error = FieldError;

    fn try_from(message: proto::ApplyRequest) -> Result<Self, FieldError> {
        Ok(match required("change", message.change)? {
            Change::PutService(put) => Self::PutService {
                base: put.base.map(Offset),
                service: required("put_service.service", put.service)?.try_into()?,
            },
            Change::PutEndpoint(put) => Self::PutEndpoint {
                base: put.base.map(Offset),
                endpoint: required("put_endpoint.endpoint", put.endpoint)?.try_into()?,
            },
            Change::PutCustomer(put) => Self::PutCustomer {
                base: put.base.map(Offset),
                customer: required("put_customer.customer", put.customer)?.try_into()?,
            },
            Change::DeleteService(delete) => Self::DeleteService {
                base: Offset(delete.base),
                name: parse("delete_service.name", &delete.name)?,
            },
            Change::DeleteEndpoint(delete) => Self::DeleteEndpoint {
                base: Offset(delete.base),
                name: parse("delete_endpoint.name", &delete.name)?,
            },
            Change::DeleteCustomer(delete) => Self::DeleteCustomer {
                base: Offset(delete.base),
                name: parse("delete_customer.name", &delete.name)?,
            },
        })
    }
}

impl proto::ApplyRequest {
    /// Converts a change of a service, endpoint or customer; `None` for changes of moves.
    pub fn from_change(change: &ConfigChange) -> Option<Self> {
        let delete = |base: Offset, name: &dyn ToString| proto::DeleteObject {
            base: base.0,
            name: name.to_string(),
        };
        let change = match change {
            ConfigChange::PutService { base, service } => Change::PutService(proto::PutService {
                base: base.map(|b| b.0),
                service: Some(service.into()),
            }),
            ConfigChange::PutEndpoint { base, endpoint } => {
                Change::PutEndpoint(proto::PutEndpoint {
                    base: base.map(|b| b.0),
                    endpoint: Some(endpoint.into()),
                })
            }
            ConfigChange::PutCustomer { base, customer } => {
                Change::PutCustomer(proto::PutCustomer {
                    base: base.map(|b| b.0),
                    customer: Some(customer.into()),
                })
            }
            ConfigChange::DeleteService { base, name } => {
                Change::DeleteService(delete(*base, name))
            }
            ConfigChange::DeleteEndpoint { base, name } => {
                Change::DeleteEndpoint(delete(*base, name))
            }
            ConfigChange::DeleteCustomer { base, name } => {
                Change::DeleteCustomer(delete(*base, name))
            }
            ConfigChange::CancelMove { .. }
            | ConfigChange::EndMove { .. }
            | ConfigChange::StartMove { .. } => return None,
        };
        Some(Self {
            change: Some(change),
        })
    }
}

impl proto::Verdict {
    /// Converts the verdict on the record at `offset`.
    pub fn new(offset: Offset, verdict: &Verdict) -> Self {
        let verdict = match verdict {
            Verdict::Accepted => ProtoVerdict::Accepted(proto::Accepted { offset: offset.0 }),
            Verdict::Conflict { current } => ProtoVerdict::Conflict(proto::Conflict {
                current: current.map(|c| c.0),
            }),
            Verdict::Invalid { reason } => ProtoVerdict::Invalid(proto::Invalid {
                reason: reason.clone(),
            }),
        };
        Self {
            verdict: Some(verdict),
        }
    }
}

/// Converts a verdict; drops the offset of an accepted change.
impl TryFrom<proto::Verdict> for Verdict {
    type Error = FieldError;

    fn try_from(message: proto::Verdict) -> Result<Self, FieldError> {
        Ok(match required("verdict", message.verdict)? {
            ProtoVerdict::Accepted(_) => Self::Accepted,
            ProtoVerdict::Conflict(conflict) => Self::Conflict {
                current: conflict.current.map(Offset),
            },
            ProtoVerdict::Invalid(invalid) => Self::Invalid {
                reason: invalid.reason,
            },
        })
    }
}
