//! Customer quotas, shared by all entries.

pub(crate) mod bucket;
pub(crate) mod contention;
pub(crate) mod copies;
pub(crate) mod ledger;
pub(crate) mod owner;
pub(crate) mod route;
pub(crate) mod standby;
