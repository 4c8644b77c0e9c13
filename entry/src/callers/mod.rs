//! Connections of callers and the directory that they use.

pub(crate) mod caller_budget;
pub(crate) mod caller_io;
pub(crate) mod caller_ledger;
pub(crate) mod caller_server;
pub(crate) mod directory;
pub(crate) mod head_check;
pub(crate) mod request_body;
