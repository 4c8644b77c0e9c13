//! A whole deployment in one process: platform, entries and endpoints as tasks.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::ControlSettings;
use hawthornrack_lib::Controller;
use hawthornrack_lib::ControllerSettings;
use hawthornrack_lib::DomainName;
use hawthornrack_lib::Gate;
use hawthornrack_lib::GateSettings;
use hawthornrack_lib::IdError;
use hawthornrack_lib::LimitSettings;
use hawthornrack_lib::Place;
use hawthornrack_lib::Platform;
use hawthornrack_lib::RoutingSettings;
use hawthornrack_lib::token_hash;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::CloudSettings;
use crate::EngineSettings;
use crate::LogSettings;
use crate::PlainSettings;
use crate::run_cloud;
use crate::run_engine;
use crate::run_log;
use crate::run_plain;

/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time within which every gate must have the whole deployment in force.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks at whether the deployment is ready.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// Why a deployment could not be started.
#[derive(Debug, displaydoc::Display, Error)]
pub enum SiteError {
    /// a port or file failed: {0}
    Io(#[from] std::io::Error),
    /// a name is wrong: {0}
    Name(#[from] IdError),
    /// a process did not start: {0}
    Start(#[from] hawthornrack_lib::Error),
    /// the entries did not become ready in time
    NotReady,
}

/// One entry VM.
#[derive(Clone, Debug)]
pub struct SiteEntry {
    /// Its controller.
    pub controller: Arc<Controller>,
    /// Its gate.
    pub gate: Arc<Gate>,
}

/// A whole deployment in one process.
#[derive(Debug)]
pub struct Site {
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the cloud and its list of machines.
    pub cloud: SocketAddr,
    /// Entries.
    pub entries: Vec<SiteEntry>,
    stop: CancellationToken,
}

impl Site {
    /// Starts a platform and one entry in each named failure domain.
    ///
    /// `secret` is the file with the key that the processes share.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a process cannot start.
    pub async fn start(
        domains: &[&str],
        secret: &Path,
        operator_token: &str,
        control: ControlSettings,
    ) -> Result<Self, SiteError> {
        let routing = RoutingSettings::default();
        Self::start_with(domains, secret, operator_token, control, routing).await
    }

    /// Starts like [`Site::start`] with stated policies of the gates.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a process cannot start.
    pub async fn start_with(
        domains: &[&str],
        secret: &Path,
        operator_token: &str,
        control: ControlSettings,
        routing: RoutingSettings,
    ) -> Result<Self, SiteError> {
        let stop = CancellationToken::new();
        let log = spawn(&stop, |l, s| run_log(LogSettings::default(), l, s)).await?;
        let cloud = spawn(&stop, |l, s| run_cloud(CloudSettings::default(), l, s)).await?;
        let mut site = Self {
            log,
            cloud,
            entries: Vec::new(),
            stop,
        };
        for domain in domains {
            site.add_entry(domain, secret, operator_token, control, routing)
                .await?;
        }
        Ok(site)
    }

    /// Starts a model engine and returns its address.
    ///
    /// # Errors
    ///
    /// Fails when its port cannot be bound.
    pub async fn add_engine(&self, settings: EngineSettings) -> Result<SocketAddr, SiteError> {
        spawn(&self.stop, |l, s| run_engine(settings, l, s)).await
    }

    /// Starts a plain service and returns its address.
    ///
    /// # Errors
    ///
    /// Fails when its port cannot be bound.
    pub async fn add_plain(&self, settings: PlainSettings) -> Result<SocketAddr, SiteError> {
        spawn(&self.stop, |l, s| run_plain(settings, l, s)).await
    }

    /// Waits until every gate has a configuration with `endpoints` endpoints in force and knows
    /// every entry.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn wait_ready(&self, endpoints: usize) -> Result<(), SiteError> {
        let ready = async {
            while !self
                .entries
                .iter()
                .all(|e| self.is_ready(&e.gate, endpoints))
            {
                tokio::time::sleep(READY_PAUSE).await;
            }
        };
        tokio::time::timeout(READY_LIMIT, ready)
            .await
            .map_err(|_elapsed| SiteError::NotReady)
    }

    /// Stops every process gracefully.
    pub async fn stop(self) {
        let stops = self.entries.iter().map(async |entry| {
            entry.gate.stop().await;
            entry.controller.stop().await;
        });
        futures_util::future::join_all(stops).await;
        self.stop.cancel();
    }

    fn is_ready(&self, gate: &Gate, endpoints: usize) -> bool {
        gate.table().is_some_and(|table| {
            let gates = table.live.members.values().filter(|m| m.gate.is_some());
            table.config.endpoints.len() == endpoints && gates.count() == self.entries.len()
        })
    }

    async fn add_entry(
        &mut self,
        domain: &str,
        secret: &Path,
        operator_token: &str,
        control: ControlSettings,
        routing: RoutingSettings,
    ) -> Result<(), SiteError> {
        let number = self.entries.len() + 1;
        let place = Place {
            node: format!("entry-{number}").parse()?,
            vm: format!("entry-vm-{number}").parse()?,
            domain: DomainName::new(domain)?,
            region: "local".parse()?,
        };
        let first = self.entries.first().map(|e| e.controller.addrs().rpc);
        let controller = Controller::start(ControllerSettings {
            place: place.clone(),
            platform: Platform {
                log: self.log,
                cloud: Some(self.cloud),
                list: Some(self.cloud),
            },
            rpc: ANY_PORT,
            advertise: None,
            operators: ANY_PORT,
            ops: ANY_PORT,
            peers: first.into_iter().collect(),
            secret_file: secret.to_owned(),
            operator_tokens: vec![token_hash(operator_token)],
            control,
        })
        .await?;
        let gate = Gate::start(GateSettings {
            place,
            listen: ANY_PORT,
            advertise: None,
            rpc: ANY_PORT,
            rpc_advertise: None,
            ops: ANY_PORT,
            controllers: vec![controller.addrs().rpc],
            secret_file: secret.to_owned(),
            limits: LimitSettings::default(),
            routing,
        })
        .await?;
        self.entries.push(SiteEntry { controller, gate });
        Ok(())
    }
}

/// Runs a stand-in as a task on a free port and returns its address.
async fn spawn<F>(
    stop: &CancellationToken,
    run: impl FnOnce(TcpListener, CancellationToken) -> F,
) -> Result<SocketAddr, SiteError>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(ANY_PORT).await?;
    let address = listener.local_addr()?;
    tokio::spawn(run(listener, stop.clone()));
    Ok(address)
}
