//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use crate::DomainName;
use crate::EntryName;
use crate::ExposureBounds;
use crate::ResourceLimits;
use crate::RetryBounds;

/// Settings of an entry, fixed at its start.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Unique name.
    pub name: EntryName,
    /// Failure domain that the entry runs in.
    pub domain: DomainName,
    /// Address that callers connect to.
    pub front_address: SocketAddr,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Address to which peers forward requests, if any.
    pub forward_address: Option<SocketAddr>,
    /// Peer addresses to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Limits of the retry budget.
    pub retry: RetryBounds,
    /// Grace period: maximum duration of a graceful shutdown.
    pub grace: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after a usage window's end at which its report is due.
    pub usage_due: Duration,
    /// Time for which a draining endpoint still serves requests.
    pub drain: Duration,
    /// Resources of the VM that callers and peers may use a part of.
    pub resources: ResourceLimits,
    /// Limits on the requests that a bad version may receive.
    pub exposure: ExposureBounds,
    /// Whether this entry reports usage while it holds the lease.
    pub reports_usage: bool,
    /// Whether this entry orders endpoints while it holds the lease.
    pub orders_endpoints: bool,
}
