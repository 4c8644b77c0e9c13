//! Settings of controllers and gates, read from TOML files.

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

/// Node, VM, failure domain and region of a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the entry VM; its gate and its controller share it.
    pub node: NodeName,
    /// Identifier of the VM on the platform.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the cloud API; absent where VMs are not managed.
    #[serde(default)]
    pub cloud: Option<SocketAddr>,
    /// Address of the platform's VM list; absent where there is none.
    #[serde(default)]
    pub list: Option<SocketAddr>,
}

/// Settings of a controller.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Node, VM, failure domain and region of the process.
    pub place: Place,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Address of the RPC port for gates and peers.
    pub rpc: SocketAddr,
    /// Advertised address of the RPC port; absent if it is the bound address.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address of the port for the operator RPC.
    pub operators: SocketAddr,
    /// Address of the port for metrics and health.
    pub ops: SocketAddr,
    /// Addresses of the RPC ports of some other controllers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// File with the secret key that all processes of a deployment share.
    pub secret_file: PathBuf,
    /// SHA-256 hashes of the operators' bearer tokens, in lower-case hexadecimal with an optional
    /// `sha256:` prefix.
    #[serde(default)]
    pub operator_tokens: Vec<String>,
    /// Intervals and limits of the controller.
    #[serde(default)]
    pub control: ControlSettings,
}

/// Intervals and limits of a controller.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// Interval between rounds of gossip, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub gossip: Duration,
    /// Interval between probes of members, in milliseconds; a member that does not reply within it
    /// is probed through other members, and suspected if that fails too.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe: Duration,
    /// Time within which a suspected member can refute the suspicion, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspicion: Duration,
    /// Duration of a lease's term, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub term: Duration,
    /// Safety margin in milliseconds: a lease holder stops this long before its term ends, and a
    /// successor waits this much longer than the term.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub margin: Duration,
    /// Number of records after which a checkpoint is appended.
    pub checkpoint: u64,
    /// Maximum age of the newest checkpoint before another is appended, in milliseconds.
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
    /// Node, VM, failure domain and region of the process.
    pub place: Place,
    /// Address of the port for callers.
    pub listen: SocketAddr,
    /// Advertised address of the port for callers; absent if it is the bound address.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address of the RPC port for other gates and controllers.
    pub rpc: SocketAddr,
    /// Advertised address of the RPC port; absent if it is the bound address.
    #[serde(default)]
    pub rpc_advertise: Option<SocketAddr>,
    /// Address of the port for metrics and health.
    pub ops: SocketAddr,
    /// Addresses of the RPC ports of controllers, the one on the gate's own VM first.
    pub controllers: Vec<SocketAddr>,
    /// File with the secret key that all processes of a deployment share.
    pub secret_file: PathBuf,
    /// Limits and timeouts for callers and endpoints.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Policies for queueing and routing requests.
    #[serde(default)]
    pub routing: RoutingSettings,
}

/// Policies of a gate for queueing and routing requests.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Load-balancing policy.
    pub balance: BalancePolicy,
    /// Policy that sets an endpoint's limit on requests in progress.
    pub limit: LimitPolicy,
    /// Initial limit on requests in progress at an endpoint.
    pub concurrency: usize,
    /// Policy for the order of waiting requests.
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

/// Limits and timeouts of a gate for callers and endpoints.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
    /// Maximum size of a request's header section, in bytes.
    pub headers: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests in progress.
    pub requests: usize,
    /// Timeout for receiving a whole request, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub receive: Duration,
    /// Timeout for an attempt that makes no progress, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub progress: Duration,
    /// Maximum time that a graceful shutdown waits for requests in progress, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Time after the start of a graceful shutdown for which the gate still accepts requests, since
    /// callers may not know of the shutdown yet, in milliseconds.
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
