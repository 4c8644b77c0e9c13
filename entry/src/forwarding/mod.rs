//! Loss of contact with endpoints, and requests that are served through peers.

pub(crate) mod forward;
pub(crate) mod forward_server;
pub(crate) mod forward_tries;
pub(crate) mod forward_wire;
pub(crate) mod reach;
pub(crate) mod reach_probe;
