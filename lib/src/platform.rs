//! Wire types of the platform's services: log, cloud, list of machines and weight store.
//!
//! Log: `POST /streams/{stream}/records` with an [`AppendRequest`] answers an
//! [`AppendReply`]; `GET /streams/{stream}/records?from=N&limit=L&wait_ms=W` answers a
//! [`ReadReply`], or status 410 with a [`ReadReply`] without records when `from` has expired.
//!
//! Cloud: `POST /vms` with a [`StartRequest`] answers a [`Vm`] (the same token always gives
//! the same machine) or status 503 when the start is refused; `GET /vms` answers all machines;
//! `DELETE /vms/{name}` ends one; `GET /notices?from=N&wait_ms=W` answers a [`NoticeReply`].
//!
//! List of machines: `GET /list` answers [`ListedVm`]s and lags.
//!
//! Weight store: `GET /weights/{model}` answers the weights or status 429 with `Retry-After`.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::Envelope;
use crate::Offset;
use crate::Record;
use crate::Timestamp;
use crate::VmName;

/// Appends records to a stream, all or none, at contiguous offsets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    /// Records in order.
    pub records: Vec<Envelope>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AppendReply {
    /// Offset of the first record.
    pub first: Offset,
}

/// Answer to a read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// Oldest offset that the log still keeps.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
    /// Records from the asked offset on.
    pub records: Vec<Record>,
}

/// How a machine is paid for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Market {
    /// Kept until it is given back.
    OnDemand,
    /// Cheaper, and taken back by the platform on short notice.
    Reclaimable,
}

/// Asks the cloud for a machine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Identity of the request; a repeat with the same token gives the same machine.
    pub token: String,
    /// Machine class.
    pub class: String,
    /// Failure domain.
    pub domain: DomainName,
    /// How the machine is paid for.
    pub market: Market,
}

/// A machine as the cloud reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Platform identifier.
    pub name: VmName,
    /// Token of the request that started it.
    pub token: String,
    /// Machine class.
    pub class: String,
    /// Failure domain.
    pub domain: DomainName,
    /// How it is paid for.
    pub market: Market,
    /// Address of the server process on it, once it runs.
    pub address: Option<SocketAddr>,
    /// Price per hour, in millionths of the currency unit.
    pub price: u64,
}

/// Announces that a machine will be reclaimed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Machine.
    pub vm: VmName,
    /// Time at which it ends.
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

/// State of a machine in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Runs.
    Live,
    /// Under notice.
    Leaving,
}

/// A row of the platform's list of machines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Machine.
    pub name: VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// State.
    pub state: ListedState,
}
