//! Sizing of services by ordering endpoints.

pub(crate) mod autoscaler;
pub(crate) mod baseline;
pub(crate) mod evacuated;
pub(crate) mod planner;
