//! Duties that one entry carries out at a time, and the lease that decides which.

pub(crate) mod duty;
pub(crate) mod duty_client;
pub(crate) mod duty_lease;
pub(crate) mod lease;
pub(crate) mod usage;
pub(crate) mod usage_delivery;
