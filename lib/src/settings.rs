//! Settings of the programs, read from TOML.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::BalancePolicy;
use crate::DomainName;
use crate::LimitPolicy;
use crate::NodeName;
use crate::QueuePolicy;
use crate::RegionName;
use crate::VmName;

/// Where a process runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the entry VM; its gate and its controller share it.
    pub node: NodeName,
    /// Platform identifier of the VM.
    pub vm: VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// Cloud API; absent where machines are not managed.
    #[serde(default)]
    pub cloud: Option<SocketAddr>,
    /// List of machines.
    #[serde(default)]
    pub list: Option<SocketAddr>,
}

/// Settings of a controller.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Where the process runs.
    pub place: Place,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Address of the RPC port for gates and peers.
    pub rpc: SocketAddr,
    /// Address at which others reach the RPC port; absent when it is the bound one.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address of the operators' RPC port.
    pub operators: SocketAddr,
    /// Address of the port for metrics and health.
    pub ops: SocketAddr,
    /// RPC ports of some other controllers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// File with the key that the system's processes share.
    pub secret_file: PathBuf,
    /// SHA-256 of the operators' bearer tokens, in lower-case hexadecimal.
    #[serde(default)]
    pub operator_tokens: Vec<String>,
    /// Intervals and limits.
    #[serde(default)]
    pub control: ControlSettings,
}

/// Intervals and limits of a controller.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// Time between two rounds of gossip, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub gossip: Duration,
    /// Time without an answer after which a member is suspected, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe: Duration,
    /// Time for which a suspicion may be refuted, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspicion: Duration,
    /// Length of a lease's term, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub term: Duration,
    /// Margin by which a holder stops before its term ends, and a successor waits longer, in
    /// milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub margin: Duration,
    /// Records after which a checkpoint is appended.
    pub checkpoint: u64,
    /// Age of the newest checkpoint after which another is appended, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub checkpoint_age: Duration,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            gossip: Duration::from_millis(200),
            probe: Duration::from_millis(500),
            suspicion: Duration::from_secs(2),
            term: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            checkpoint: 2000,
            checkpoint_age: Duration::from_mins(10),
        }
    }
}

/// Settings of a gate.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GateSettings {
    /// Where the process runs.
    pub place: Place,
    /// Address of the callers' port.
    pub listen: SocketAddr,
    /// Address at which callers reach the gate; absent when it is the bound one.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address of the RPC port for other gates.
    pub rpc: SocketAddr,
    /// Address at which other gates reach the RPC port; absent when it is the bound one.
    #[serde(default)]
    pub rpc_advertise: Option<SocketAddr>,
    /// Address of the port for metrics and health.
    pub ops: SocketAddr,
    /// RPC ports of controllers, its own VM's first.
    pub controllers: Vec<SocketAddr>,
    /// File with the key that the system's processes share.
    pub secret_file: PathBuf,
    /// Limits towards callers and endpoints.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Policies by which requests are queued and routed.
    #[serde(default)]
    pub routing: RoutingSettings,
}

/// Policies of a gate.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// How an endpoint is chosen.
    pub balance: BalancePolicy,
    /// How the limit on the requests in progress at an endpoint is set.
    pub limit: LimitPolicy,
    /// Requests in progress at an endpoint at which its limit starts.
    pub concurrency: usize,
    /// In which order waiting requests are taken.
    pub queue: QueuePolicy,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            balance: BalancePolicy::default(),
            limit: LimitPolicy::default(),
            concurrency: 64,
            queue: QueuePolicy::default(),
        }
    }
}

/// Limits of a gate towards callers and endpoints.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Size of a request's body, in bytes.
    pub body: usize,
    /// Size of a request's header section, in bytes.
    pub headers: usize,
    /// Connections open at once.
    pub connections: usize,
    /// Requests in progress at once.
    pub requests: usize,
    /// Time within which a request must arrive, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub receive: Duration,
    /// Time without progress after which an attempt is given up, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub progress: Duration,
    /// Time for which an orderly stop waits for requests in progress, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Time for which an orderly stop serves callers that have not heard of it, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub linger: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: 8 * 1024 * 1024,
            headers: 32 * 1024,
            connections: 20_000,
            requests: 4096,
            receive: Duration::from_secs(10),
            progress: Duration::from_secs(3),
            drain: Duration::from_secs(30),
            linger: Duration::from_secs(1),
        }
    }
}
