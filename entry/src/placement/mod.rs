//! Choice of the endpoint for a send, and the load of endpoints.

pub(crate) mod choice;
pub(crate) mod endpoint_load;
pub(crate) mod endpoint_wait;
pub(crate) mod engine_list;
pub(crate) mod evacuation;
pub(crate) mod prefix_load;
pub(crate) mod reservation;
pub(crate) mod send_placement;
pub(crate) mod slowness;
