//! Wire types of the platform's services: log, cloud, VM list and weight store.
//!
//! Log: `POST /streams/{stream}/records` with an [`AppendRequest`] returns an
//! [`AppendReply`]; `GET /streams/{stream}/records?from=N&limit=L&wait_ms=W` returns a
//! [`ReadReply`], or status 410 with a [`ReadReply`] without records when `from` has expired.
//!
//! Cloud: `POST /vms` with a [`StartRequest`] returns a [`Vm`] (the same token always gives
//! the same VM) or status 503 when the start is refused; `GET /vms` returns all VMs;
//! `DELETE /vms/{name}` terminates one; `GET /notices?from=N&wait_ms=W` returns a [`NoticeReply`].
//!
//! VM list: `GET /list` returns [`ListedVm`]s; it lags behind the cloud.
//!
//! Weight store: `GET /weights/{model}` returns the weights, or status 429 with `Retry-After`.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::Envelope;
use crate::Offset;
use crate::Record;
use crate::Timestamp;
use crate::VmName;

/// Request to append records to a stream, atomically and at contiguous offsets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    /// Records in order.
    pub records: Vec<Envelope>,
}

/// Response to an [`AppendRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AppendReply {
    /// Offset of the first record.
    pub first: Offset,
}

/// Response to a read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// Oldest offset that the log retains.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
    /// Records from the requested offset on.
    pub records: Vec<Record>,
}

/// Pricing model of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Market {
    /// Runs until it is terminated by its user.
    OnDemand,
    /// Cheaper; the platform may reclaim it on short notice.
    Reclaimable,
}

/// Request to the cloud to start a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Idempotency token; a repeated request with the same token gives the same VM.
    pub token: String,
    /// VM class (instance type).
    pub class: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Pricing model.
    pub market: Market,
}

/// A VM as the cloud reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM, assigned by the platform.
    pub name: VmName,
    /// Token of the request that started it.
    pub token: String,
    /// VM class (instance type).
    pub class: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Pricing model.
    pub market: Market,
    /// Address of the server process on the VM, `None` until it runs.
    pub address: Option<SocketAddr>,
    /// Price per hour, in millionths of the currency unit.
    pub price: u64,
}

/// Advance notice that the platform will reclaim a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// VM to be reclaimed.
    pub vm: VmName,
    /// Time at which the VM is terminated.
    pub deadline: Timestamp,
}

/// Notices from a position on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NoticeReply {
    /// Position after the last notice.
    pub next: u64,
    /// Notices in order.
    pub notices: Vec<Notice>,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The VM runs.
    Live,
    /// The platform has announced that it will reclaim the VM.
    Leaving,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the VM runs or is about to be reclaimed.
    pub state: ListedState,
}
