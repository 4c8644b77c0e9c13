//! Measures the overhead of the control plane per node with many controllers in one process.

use std::fmt::Display;
use std::fmt::Formatter;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ControlSettings;
use hawthornrack_lib::Controller;
use hawthornrack_lib::ControllerSettings;
use hawthornrack_lib::Customer;
use hawthornrack_lib::Endpoint;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Place;
use hawthornrack_lib::Platform;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::Version;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::token_hash;
use indexmap::IndexMap;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::DeploymentError;
use crate::LogSettings;
use crate::counting_forwarder::CountingForwarder;
use crate::run_log;

/// Number of failure domains over which nodes and endpoints are distributed.
const DOMAIN_COUNT: usize = 13;

/// Number of regions over which the failure domains are distributed.
const REGION_COUNT: usize = 5;

/// Maximum number of seed nodes in the settings of each node.
const MAX_SEED_NODES: usize = 3;

/// Time within which all nodes must have joined.
const JOIN_TIMEOUT: Duration = Duration::from_mins(2);

/// Time for which the nodes stabilize after the declarations, before the measurement starts.
const STABILIZATION_TIME: Duration = Duration::from_secs(5);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time within which a change must be in force on all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(13);

/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Clock ticks per second, the unit of CPU times in `/proc/self/stat`.
const TICKS_PER_SEC: f64 = 100.0;

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct ScaleSettings {
    /// Number of controllers, one for each node; at least 1.
    pub nodes: usize,
    /// Number of endpoints declared.
    pub endpoints: usize,
    /// Number of services declared; at least 1 if there are endpoints.
    pub services: usize,
    /// Number of configuration changes during the measurement.
    pub changes: u32,
    /// Duration of the measurement.
    pub duration: Duration,
    /// Whether network traffic is counted; the counting adds to the measured CPU time and memory.
    pub count_bytes: bool,
}

/// Results of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Number of controllers, one for each node.
    pub nodes: usize,
    /// Number of endpoints declared.
    pub endpoints: usize,
    /// Number of services declared.
    pub services: usize,
    /// Number of configuration changes during the measurement.
    pub changes: u32,
    /// Time from the start of the first node until all nodes had joined, in milliseconds.
    pub join_ms: u64,
    /// CPU time of the process, including the log stand-in, divided by the number of nodes, in
    /// percent of a core.
    pub cpu_percent: f64,
    /// Growth of the process's resident memory since before the start of the nodes, divided by the
    /// number of nodes, in KiB.
    pub memory_kib: u64,
    /// Bytes per second that a node exchanges with other nodes, `None` if not counted; each byte
    /// counts at both ends.
    pub peer_bytes: Option<f64>,
    /// Bytes per second between a node and the log, `None` if not counted.
    pub log_bytes: Option<f64>,
    /// Median time until a change was in force on all nodes, in milliseconds.
    pub median_ms: u64,
    /// Maximum time until a change was in force on all nodes, in milliseconds.
    pub longest_ms: u64,
}

impl Display for ScaleReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let kb =
            |bytes: Option<f64>| bytes.map_or(String::from("-"), |b| format!("{:.2}", b / 1e3));
        write!(
            f,
            "| {} | {} | {} | {} | {} | {:.2} | {} | {} | {} | {} | {} |",
            self.nodes,
            self.endpoints,
            self.services,
            self.changes,
            self.join_ms,
            self.cpu_percent,
            self.memory_kib,
            kb(self.peer_bytes),
            kb(self.log_bytes),
            self.median_ms,
            self.longest_ms,
        )
    }
}

/// Markdown header of the table that has one [`ScaleReport`] per row.
pub const SCALE_HEAD: &str = "| nodes | endpoints | services | changes | join ms | CPU % a node | \
KiB a node | peer kB/s a node | log kB/s a node | in force median ms | longest ms |\n\
|---|---|---|---|---|---|---|---|---|---|---|";

#[derive(Debug, Default)]
struct TrafficCounters {
    /// Bytes between nodes.
    peers: Arc<AtomicU64>,
    /// Bytes between nodes and the log.
    log: Arc<AtomicU64>,
}

struct Nodes {
    controllers: Vec<Arc<Controller>>,
    traffic: TrafficCounters,
    stop: CancellationToken,
}

/// Runs a measurement; `secret` is the file with the shared key of the nodes.
///
/// # Errors
///
/// Fails if a port cannot be bound, a node does not start, the nodes do not join or apply a change
/// in time, or a change is rejected.
///
/// # Panics
///
/// Panics if there are no nodes, or endpoints but no services.
pub async fn measure_scale(
    settings: ScaleSettings,
    secret: &Path,
) -> Result<ScaleReport, DeploymentError> {
    let base_memory = memory_bytes();
    let started = Instant::now();
    let nodes = start_nodes(&settings, secret).await?;
    wait_joined(&nodes.controllers).await?;
    let join = started.elapsed();
    declare(&nodes.controllers[0], &settings).await?;
    tokio::time::sleep(STABILIZATION_TIME).await;

    let (cpu_before, peers_before, log_before) = (
        cpu_secs(),
        read_counter(&nodes.traffic.peers),
        read_counter(&nodes.traffic.log),
    );
    let measurement_start = Instant::now();
    let mut delays = measure_changes(&nodes.controllers, &settings).await?;
    tokio::time::sleep_until(measurement_start + settings.duration).await;
    let secs = measurement_start.elapsed().as_secs_f64();
    let node_secs = secs * settings.nodes as f64;
    delays.sort_unstable();
    let report = ScaleReport {
        nodes: settings.nodes,
        endpoints: settings.endpoints,
        services: settings.services,
        changes: settings.changes,
        join_ms: hawthornrack_lib::millis(join),
        cpu_percent: (cpu_secs() - cpu_before) * 100.0 / node_secs,
        memory_kib: memory_bytes().saturating_sub(base_memory) / 1024 / settings.nodes as u64,
        peer_bytes: settings
            .count_bytes
            .then(|| 2.0 * (read_counter(&nodes.traffic.peers) - peers_before) as f64 / node_secs),
        log_bytes: settings
            .count_bytes
            .then(|| (read_counter(&nodes.traffic.log) - log_before) as f64 / node_secs),
        median_ms: delays.get(delays.len() / 2).copied().unwrap_or(0),
        longest_ms: delays.last().copied().unwrap_or(0),
    };
    for controller in &nodes.controllers {
        controller.kernel.stop(Duration::from_secs(1)).await;
    }
    nodes.stop.cancel();
    Ok(report)
}

async fn start_nodes(settings: &ScaleSettings, secret: &Path) -> Result<Nodes, DeploymentError> {
    let stop = CancellationToken::new();
    let listener = TcpListener::bind(any_port()).await?;
    let log = listener.local_addr()?;
    tokio::spawn(run_log(LogSettings::default(), listener, stop.clone()));
    let mut nodes = Nodes {
        controllers: Vec::new(),
        traffic: TrafficCounters::default(),
        stop,
    };
    let mut seed_addresses: Vec<SocketAddr> = Vec::new();
    for index in 0..settings.nodes {
        let started = start_node(
            settings,
            index,
            log,
            &seed_addresses,
            &nodes.traffic,
            secret,
        )
        .await?;
        if seed_addresses.len() < MAX_SEED_NODES {
            seed_addresses.push(started.1);
        }
        nodes.controllers.push(started.0);
    }
    Ok(nodes)
}

/// Starts a node and returns its controller and the address that its peers use.
async fn start_node(
    settings: &ScaleSettings,
    index: usize,
    log: SocketAddr,
    seed_addresses: &[SocketAddr],
    traffic: &TrafficCounters,
    secret: &Path,
) -> Result<(Arc<Controller>, SocketAddr), DeploymentError> {
    let domain = index % DOMAIN_COUNT;
    let mut log_address = log;
    let mut forwarder = None;
    if settings.count_bytes {
        let to_log = CountingForwarder::start(Arc::clone(&traffic.log)).await?;
        to_log.set_server(log);
        log_address = to_log.listen;
        forwarder = Some(CountingForwarder::start(Arc::clone(&traffic.peers)).await?);
    }
    let controller = Controller::start(ControllerSettings {
        place: Place {
            node: format!("entry-{index}").parse()?,
            vm: format!("entry-vm-{index}").parse()?,
            domain: format!("zone-{domain}").parse()?,
            region: format!("region-{}", domain % REGION_COUNT).parse()?,
        },
        platform: Platform {
            log: log_address,
            cloud: None,
            list: None,
        },
        rpc: any_port(),
        advertise: forwarder.as_ref().map(|f| f.listen),
        operators: any_port(),
        ops: any_port(),
        peers: seed_addresses.to_vec(),
        secret_file: secret.to_owned(),
        operator_tokens: Vec::new(),
        control: ControlSettings::default(),
    })
    .await?;
    let mut address = controller.addrs().rpc;
    if let Some(forwarder) = forwarder {
        forwarder.set_server(address);
        address = forwarder.listen;
    }
    Ok((controller, address))
}

async fn wait_joined(controllers: &[Arc<Controller>]) -> Result<(), DeploymentError> {
    let count = controllers.len();
    let is_joined = |controller: &Arc<Controller>| {
        let live = controller.live();
        let alive = live.members.values();
        let alive = alive.filter(|m| m.state == MemberState::Alive).count();
        alive == count && controller.config().is_some()
    };
    wait_for(JOIN_TIMEOUT, || controllers.iter().all(is_joined)).await
}

/// Declares the services and endpoints through a controller.
async fn declare(controller: &Controller, settings: &ScaleSettings) -> Result<(), DeploymentError> {
    for index in 0..settings.services {
        let service = Service {
            name: format!("service-{index}").parse()?,
            kind: ServiceKind::Model,
            versions: IndexMap::from([(
                VersionName::new("v1")?,
                Version {
                    model: String::from("model"),
                    share: 1000,
                },
            )]),
            routes: Vec::new(),
            keys: KeySupport::Ignored,
            fenced: true,
            target: Duration::from_millis(960),
            replicas: 0,
        };
        let base = None;
        submit(controller, ConfigChange::PutService { base, service }).await?;
    }
    let puts = (0..settings.endpoints).map(|index| async move {
        let endpoint = Endpoint {
            name: format!("endpoint-{index}").parse()?,
            service: format!("service-{}", index % settings.services).parse()?,
            version: VersionName::new("v1")?,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            vm: format!("vm-{index}").parse()?,
            domain: format!("zone-{}", index % DOMAIN_COUNT).parse()?,
        };
        let base = None;
        submit(controller, ConfigChange::PutEndpoint { base, endpoint }).await
    });
    futures_util::future::try_join_all(puts).await?;
    Ok(())
}

/// Applies the configuration changes at a fixed interval, each through the next node, and returns
/// the time until each was in force on all nodes, in milliseconds.
async fn measure_changes(
    controllers: &[Arc<Controller>],
    settings: &ScaleSettings,
) -> Result<Vec<u64>, DeploymentError> {
    let interval = settings.duration / settings.changes.max(1);
    let mut next = Instant::now();
    let mut delays = Vec::new();
    for number in 0..settings.changes {
        let controller = &controllers[number as usize % controllers.len()];
        let started = Instant::now();
        let customer = Customer {
            name: format!("customer-{number}").parse()?,
            tokens: vec![token_hash(&format!("token-{number}"))],
            weight: 1,
        };
        let base = None;
        let offset = submit(controller, ConfigChange::PutCustomer { base, customer }).await?;
        let in_force = |c: &Arc<Controller>| c.config().is_some_and(|s| s.next > offset);
        wait_for(CHANGE_TIMEOUT, || controllers.iter().all(in_force)).await?;
        delays.push(hawthornrack_lib::millis(started.elapsed()));
        next += interval;
        tokio::time::sleep_until(next).await;
    }
    Ok(delays)
}

async fn submit(controller: &Controller, change: ConfigChange) -> Result<Offset, DeploymentError> {
    match controller.submit(change).await? {
        (offset, Verdict::Accepted) => Ok(offset),
        _ => Err(DeploymentError::NotReady),
    }
}

async fn wait_for(timeout: Duration, condition: impl Fn() -> bool) -> Result<(), DeploymentError> {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > deadline {
            return Err(DeploymentError::NotReady);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn read_counter(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Returns the CPU time that this process has used, in seconds.
fn cpu_secs() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command name, in parentheses, may contain spaces; the other fields follow it. The 12th
    // and 13th fields after it are the user and system CPU time.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SEC
}

/// Returns the resident memory of this process, in bytes.
fn memory_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
