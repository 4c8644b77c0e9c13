//! Membership, gossip and calls between entries.

pub(crate) mod contact;
pub(crate) mod entry_state;
pub(crate) mod fan_out;
pub(crate) mod gossip;
pub(crate) mod members;
pub(crate) mod news;
pub(crate) mod owner;
pub(crate) mod packed;
pub(crate) mod peer_body;
pub(crate) mod peer_rpc;
pub(crate) mod peer_search;
pub(crate) mod peer_transport;
pub(crate) mod rank;
