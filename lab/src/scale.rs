//! Measures what control costs a node: runs many controllers in one process.

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

use crate::LogSettings;
use crate::SiteError;
use crate::byte_count::ByteCount;
use crate::run_log;

/// Failure domains over which the nodes are spread.
const DOMAINS: usize = 13;

/// Regions over which the failure domains are spread.
const REGIONS: usize = 5;

/// Seeds that each node is given.
const SEEDS: usize = 3;

/// Time within which all nodes must know each other.
const JOIN_LIMIT: Duration = Duration::from_mins(2);

/// Time for which the nodes settle before they are measured.
const SETTLE: Duration = Duration::from_secs(5);

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Time within which a change must be in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(13);

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// Ticks of a second in the processor times that the system reports.
const TICKS_PER_SEC: f64 = 100.0;

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct ScaleSettings {
    /// Controllers.
    pub nodes: usize,
    /// Endpoints declared.
    pub endpoints: usize,
    /// Services declared.
    pub services: usize,
    /// Changes of configuration during the measurement.
    pub changes: u32,
    /// Length of the measurement.
    pub span: Duration,
    /// Whether the bytes between nodes are counted, which costs processor time.
    pub bytes: bool,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Controllers.
    pub nodes: usize,
    /// Endpoints declared.
    pub endpoints: usize,
    /// Services declared.
    pub services: usize,
    /// Changes of configuration during the measurement.
    pub changes: u32,
    /// Time until all nodes knew each other, in milliseconds.
    pub join_ms: u64,
    /// Processor time a node, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory a node beyond that of the process without nodes, in KiB.
    pub memory_kib: u64,
    /// Bytes between nodes that a node sends and receives, a second; each byte counts at both
    /// ends.
    pub peer_bytes: Option<f64>,
    /// Bytes between a node and the log, a second.
    pub log_bytes: Option<f64>,
    /// Median time until a change was in force everywhere, in milliseconds.
    pub median_ms: u64,
    /// Longest such time, in milliseconds.
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

/// Head of the table whose rows reports are.
pub const SCALE_HEAD: &str = "| nodes | endpoints | services | changes | join ms | CPU % a node | \
KiB a node | peer kB/s a node | log kB/s a node | in force median ms | longest ms |\n\
|---|---|---|---|---|---|---|---|---|---|---|";

#[derive(Debug, Default)]
struct Traffic {
    peers: Arc<AtomicU64>,
    log: Arc<AtomicU64>,
}

struct Nodes {
    controllers: Vec<Arc<Controller>>,
    traffic: Traffic,
    stop: CancellationToken,
}

/// Runs the measurement; `secret` is the file with the key that the processes share.
///
/// # Errors
///
/// Fails when a port cannot be bound, a node does not start, or the nodes do not agree in time.
pub async fn measure_scale(
    settings: ScaleSettings,
    secret: &Path,
) -> Result<ScaleReport, SiteError> {
    let before = memory_bytes();
    let begun = Instant::now();
    let nodes = start(&settings, secret).await?;
    wait_joined(&nodes.controllers).await?;
    let join = begun.elapsed();
    declare(&nodes.controllers[0], &settings).await?;
    tokio::time::sleep(SETTLE).await;

    let (cpu, peers, log) = (
        cpu_secs(),
        read(&nodes.traffic.peers),
        read(&nodes.traffic.log),
    );
    let measured = Instant::now();
    let mut spreads = change_repeatedly(&nodes.controllers, &settings).await?;
    tokio::time::sleep_until(measured + settings.span).await;
    let secs = measured.elapsed().as_secs_f64();
    let per_node = secs * settings.nodes as f64;
    spreads.sort_unstable();
    let report = ScaleReport {
        nodes: settings.nodes,
        endpoints: settings.endpoints,
        services: settings.services,
        changes: settings.changes,
        join_ms: hawthornrack_lib::millis(join),
        cpu_percent: (cpu_secs() - cpu) * 100.0 / per_node,
        memory_kib: memory_bytes().saturating_sub(before) / 1024 / settings.nodes as u64,
        peer_bytes: settings
            .bytes
            .then(|| 2.0 * (read(&nodes.traffic.peers) - peers) as f64 / per_node),
        log_bytes: settings
            .bytes
            .then(|| (read(&nodes.traffic.log) - log) as f64 / per_node),
        median_ms: spreads.get(spreads.len() / 2).copied().unwrap_or(0),
        longest_ms: spreads.last().copied().unwrap_or(0),
    };
    for controller in &nodes.controllers {
        controller.kernel.stop(Duration::from_secs(1)).await;
    }
    nodes.stop.cancel();
    Ok(report)
}

async fn start(settings: &ScaleSettings, secret: &Path) -> Result<Nodes, SiteError> {
    let stop = CancellationToken::new();
    let listener = TcpListener::bind(any_port()).await?;
    let log = listener.local_addr()?;
    tokio::spawn(run_log(LogSettings::default(), listener, stop.clone()));
    let mut nodes = Nodes {
        controllers: Vec::new(),
        traffic: Traffic::default(),
        stop,
    };
    let mut seeds: Vec<SocketAddr> = Vec::new();
    for index in 0..settings.nodes {
        let controller = start_node(settings, index, log, &seeds, &nodes.traffic, secret).await?;
        if seeds.len() < SEEDS {
            seeds.push(controller.1);
        }
        nodes.controllers.push(controller.0);
    }
    Ok(nodes)
}

async fn start_node(
    settings: &ScaleSettings,
    index: usize,
    log: SocketAddr,
    seeds: &[SocketAddr],
    traffic: &Traffic,
    secret: &Path,
) -> Result<(Arc<Controller>, SocketAddr), SiteError> {
    let domain = index % DOMAINS;
    let mut log = log;
    let mut forwarder = None;
    if settings.bytes {
        let to_log = ByteCount::start(Arc::clone(&traffic.log)).await?;
        to_log.set_server(log);
        log = to_log.listen;
        forwarder = Some(ByteCount::start(Arc::clone(&traffic.peers)).await?);
    }
    let controller = Controller::start(ControllerSettings {
        place: Place {
            node: format!("entry-{index}").parse()?,
            vm: format!("entry-vm-{index}").parse()?,
            domain: format!("zone-{domain}").parse()?,
            region: format!("region-{}", domain % REGIONS).parse()?,
        },
        platform: Platform {
            log,
            cloud: None,
            list: None,
        },
        rpc: any_port(),
        advertise: forwarder.as_ref().map(|f| f.listen),
        operators: any_port(),
        ops: any_port(),
        peers: seeds.to_vec(),
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

async fn wait_joined(controllers: &[Arc<Controller>]) -> Result<(), SiteError> {
    let count = controllers.len();
    let knows_all = |controller: &Arc<Controller>| {
        let live = controller.live();
        let alive = live.members.values();
        let alive = alive.filter(|m| m.state == MemberState::Alive).count();
        alive == count && controller.config().is_some()
    };
    wait_for(JOIN_LIMIT, || controllers.iter().all(knows_all)).await
}

async fn declare(controller: &Controller, settings: &ScaleSettings) -> Result<(), SiteError> {
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
            domain: format!("zone-{}", index % DOMAINS).parse()?,
        };
        let base = None;
        submit(controller, ConfigChange::PutEndpoint { base, endpoint }).await
    });
    futures_util::future::try_join_all(puts).await?;
    Ok(())
}

/// Applies the changes at even times, each through the next node, and returns the times until
/// each was in force everywhere, in milliseconds.
async fn change_repeatedly(
    controllers: &[Arc<Controller>],
    settings: &ScaleSettings,
) -> Result<Vec<u64>, SiteError> {
    let pause = settings.span / settings.changes.max(1);
    let mut next = Instant::now();
    let mut spreads = Vec::new();
    for number in 0..settings.changes {
        let controller = &controllers[number as usize % controllers.len()];
        let begun = Instant::now();
        let customer = Customer {
            name: format!("customer-{number}").parse()?,
            tokens: vec![token_hash(&format!("token-{number}"))],
            weight: 1,
        };
        let base = None;
        let offset = submit(controller, ConfigChange::PutCustomer { base, customer }).await?;
        let in_force = |c: &Arc<Controller>| c.config().is_some_and(|s| s.next > offset);
        wait_for(CHANGE_LIMIT, || controllers.iter().all(in_force)).await?;
        spreads.push(hawthornrack_lib::millis(begun.elapsed()));
        next += pause;
        tokio::time::sleep_until(next).await;
    }
    Ok(spreads)
}

async fn submit(controller: &Controller, change: ConfigChange) -> Result<Offset, SiteError> {
    match controller.submit(change).await? {
        (offset, Verdict::Accepted) => Ok(offset),
        _ => Err(SiteError::NotReady),
    }
}

async fn wait_for(limit: Duration, holds: impl Fn() -> bool) -> Result<(), SiteError> {
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() > deadline {
            return Err(SiteError::NotReady);
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Returns the processor time of this process so far, in seconds.
fn cpu_secs() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command's name, in brackets, may hold spaces; the numbers follow it.
    let numbers = stat.rsplit(')').next().unwrap_or_default();
    let ticks = numbers.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SEC
}

/// Returns the resident memory of this process, in bytes.
fn memory_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
