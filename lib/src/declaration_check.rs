//! Finds declared entries that take no effect and limits that contradict each other.

use indexmap::IndexMap;
use serde::Serialize;

use crate::Customer;
use crate::CustomerName;
use crate::Declarations;
use crate::DeclaredService;
use crate::Endpoint;
use crate::Route;
use crate::Service;
use crate::ServiceName;
use crate::VersionName;

/// Characters that the path of a request cannot contain, apart from control characters.
const NON_PATH_CHARACTERS: [char; 3] = ['?', '#', ' '];

/// Kind of problem.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// Two limits that cannot both hold.
    Contradiction,
    /// The declarations cannot be read or parsed.
    Error,
    /// An entry that can never match a request.
    Unreachable,
}

/// One problem of the declarations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Kind of problem.
    pub kind: FindingKind,
    /// Kind and name of the object, as in `service desk`; empty for an error in a file.
    pub object: String,
    /// Description of the problem.
    pub problem: String,
}

impl Finding {
    /// Creates a finding on an error in the declaration files.
    pub fn error(problem: String) -> Self {
        Self {
            kind: FindingKind::Error,
            object: String::new(),
            problem,
        }
    }

    fn unreachable(object: String, problem: impl Into<String>) -> Self {
        Self {
            kind: FindingKind::Unreachable,
            object,
            problem: problem.into(),
        }
    }

    fn contradiction(object: String, problem: impl Into<String>) -> Self {
        Self {
            kind: FindingKind::Contradiction,
            object,
            problem: problem.into(),
        }
    }
}

/// Returns the problems of valid declarations: those of services, endpoints and customers in this order.
pub fn check_declarations(declared: &Declarations) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, service) in &declared.services {
        let versions = endpoint_counts(declared, name);
        findings.extend(check_service(service, &versions));
    }
    findings.extend(check_addresses(&declared.endpoints));
    findings.extend(check_customers(&declared.customers));
    findings
}

/// Returns the number of declared endpoints of a service by version.
fn endpoint_counts<'a>(
    declared: &'a Declarations,
    service: &ServiceName,
) -> IndexMap<&'a VersionName, usize> {
    let mut counts = IndexMap::new();
    let endpoints = declared.endpoints.values();
    for endpoint in endpoints.filter(|e| e.service == *service) {
        *counts.entry(&endpoint.version).or_default() += 1;
    }
    counts
}

fn check_service(
    declared: &DeclaredService,
    endpoints: &IndexMap<&VersionName, usize>,
) -> Vec<Finding> {
    let service = &declared.service;
    let object = || format!("service {}", service.name);
    let mut findings = Vec::new();
    // The fleet provides the endpoints of a service with replicas.
    if service.replicas == 0 && endpoints.is_empty() {
        let problem = "no endpoint is declared and replicas is 0, so that no request can be served";
        findings.push(Finding::unreachable(object(), problem));
    } else if service.replicas == 0 {
        findings.extend(check_shares(service, endpoints));
    }
    findings.extend(service.routes.iter().flat_map(|r| check_route(service, r)));
    findings
}

/// Finds versions that get traffic but have no endpoint.
fn check_shares(service: &Service, endpoints: &IndexMap<&VersionName, usize>) -> Vec<Finding> {
    let versions = service.versions.iter();
    let unserved = versions.filter(|(name, v)| v.share > 0 && !endpoints.contains_key(name));
    let finding = |(name, version): (&VersionName, &crate::Version)| {
        let object = format!("service {}", service.name);
        let share = version.share;
        let problem = format!(
            "version {name} gets {share} of 1000 requests, but no endpoint with it is declared"
        );
        Finding::contradiction(object, problem)
    };
    unserved.map(finding).collect()
}

fn check_route(service: &Service, route: &Route) -> Vec<Finding> {
    let object = || format!("route {}/{}", service.name, route.prefix);
    let is_path = |c: char| !c.is_control() && !NON_PATH_CHARACTERS.contains(&c);
    let mut findings = Vec::new();
    if !route.prefix.chars().all(is_path) {
        let problem = "the prefix has a character that no path contains, so that it never matches";
        findings.push(Finding::unreachable(object(), problem));
    }
    if route.timeout < service.target {
        let problem = format!(
            "the timeout of {} is shorter than the service's target of {}",
            humantime::format_duration(route.timeout),
            humantime::format_duration(service.target)
        );
        findings.push(Finding::contradiction(object(), problem));
    }
    findings
}

/// Finds endpoints that are declared with the address of another one: a request for one of them
/// would run on the other.
fn check_addresses(endpoints: &IndexMap<crate::EndpointName, Endpoint>) -> Vec<Finding> {
    let mut by_address = IndexMap::new();
    let mut findings = Vec::new();
    for endpoint in endpoints.values() {
        let first: &mut &Endpoint = by_address.entry(endpoint.address).or_insert(endpoint);
        if first.name != endpoint.name {
            let object = format!("endpoint {}", endpoint.name);
            let problem = format!(
                "has the address {} of endpoint {}",
                endpoint.address, first.name
            );
            findings.push(Finding::contradiction(object, problem));
        }
    }
    findings
}

/// Finds customers that no request can belong to.
fn check_customers(customers: &IndexMap<CustomerName, Customer>) -> Vec<Finding> {
    let mut owners: IndexMap<&str, &CustomerName> = IndexMap::new();
    let mut findings = Vec::new();
    for customer in customers.values() {
        let object = || format!("customer {}", customer.name);
        if customer.tokens.is_empty() {
            let problem = "has no token, so that no request belongs to it";
            findings.push(Finding::unreachable(object(), problem));
        }
        for token in &customer.tokens {
            let owner = *owners.entry(token).or_insert(&customer.name);
            if *owner != customer.name {
                let problem = format!("has a token that customer {owner} has as well");
                findings.push(Finding::contradiction(object(), problem));
            }
        }
    }
    findings
}
