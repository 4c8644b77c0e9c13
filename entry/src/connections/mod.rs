//! Connections to endpoints, peers and the platform, and the memory for what they send.

pub(crate) mod buffer_budget;
pub(crate) mod connection;
pub(crate) mod pooled_body;
pub(crate) mod pooled_call;
pub(crate) mod read_meter;
