//! How many endpoints a service should have in each failure domain.

use crate::DomainName;
use crate::ServiceName;

/// Order for a number of endpoints of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetOrder {
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the endpoints may be reclaimed.
    pub spot: bool,
    /// Number of endpoints of this kind there.
    pub count: u32,
}

/// What the holder of the lease remembers of its orders.
#[derive(Debug, Default)]
pub struct FleetPlan {}
