//! Deployment in one process, with platform stand-ins, entries and endpoints as tasks.

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

/// Loopback address with port 0, for which the system chooses a free port.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time within which every gate must have the configuration in force and know every entry.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks of whether the deployment is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error from starting, configuring or measuring a local deployment.
#[derive(Debug, displaydoc::Display, Error)]
pub enum DeploymentError {
    /// I/O error: {0}
    Io(#[from] std::io::Error),
    /// invalid name: {0}
    Name(#[from] IdError),
    /// error from a controller or gate: {0}
    Start(#[from] hawthornrack_lib::Error),
    /// deployment not ready, or configuration change rejected or not in force in time
    NotReady,
}

/// Controller and gate of one entry VM.
#[derive(Clone, Debug)]
pub struct LocalEntry {
    /// Controller of the entry.
    pub controller: Arc<Controller>,
    /// Gate of the entry.
    pub gate: Arc<Gate>,
}

/// Running deployment in this process.
#[derive(Debug)]
pub struct LocalDeployment {
    /// Address of the log stand-in.
    pub log: SocketAddr,
    /// Address of the stand-in for the cloud API and the VM list.
    pub cloud: SocketAddr,
    /// Entries, in the order of their start.
    pub entries: Vec<LocalEntry>,
    stop: CancellationToken,
}

impl LocalDeployment {
    /// Starts platform stand-ins and one entry in each of `domains`.
    ///
    /// `secret` is the file with the shared key of the controllers and gates, `operator_token` the
    /// plaintext token that the controllers accept from operators, and `control` the settings of
    /// the control plane.
    ///
    /// # Errors
    ///
    /// Fails if a domain name is invalid, a port cannot be bound, or a controller or gate cannot
    /// start.
    pub async fn start(
        domains: &[&str],
        secret: &Path,
        operator_token: &str,
        control: ControlSettings,
    ) -> Result<Self, DeploymentError> {
        let routing = RoutingSettings::default();
        Self::start_with_routing(domains, secret, operator_token, control, routing).await
    }

    /// Like [`LocalDeployment::start`], with routing settings for the gates.
    ///
    /// # Errors
    ///
    /// Fails if a domain name is invalid, a port cannot be bound, or a controller or gate cannot
    /// start.
    pub async fn start_with_routing(
        domains: &[&str],
        secret: &Path,
        operator_token: &str,
        control: ControlSettings,
        routing: RoutingSettings,
    ) -> Result<Self, DeploymentError> {
        let stop = CancellationToken::new();
        let log = spawn_stand_in(&stop, |l, s| run_log(LogSettings::default(), l, s)).await?;
        let cloud = spawn_stand_in(&stop, |l, s| run_cloud(CloudSettings::default(), l, s)).await?;
        let mut deployment = Self {
            log,
            cloud,
            entries: Vec::new(),
            stop,
        };
        for domain in domains {
            deployment
                .add_entry(domain, secret, operator_token, control, routing)
                .await?;
        }
        Ok(deployment)
    }

    /// Starts a stand-in for a model engine and returns its address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_engine(
        &self,
        settings: EngineSettings,
    ) -> Result<SocketAddr, DeploymentError> {
        spawn_stand_in(&self.stop, |l, s| run_engine(settings, l, s)).await
    }

    /// Starts a stand-in for a plain service and returns its address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_plain(&self, settings: PlainSettings) -> Result<SocketAddr, DeploymentError> {
        spawn_stand_in(&self.stop, |l, s| run_plain(settings, l, s)).await
    }

    /// Waits until every gate has a configuration with `endpoints` endpoints in force and knows
    /// the gates of all entries.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 20 seconds.
    pub async fn wait_ready(&self, endpoints: usize) -> Result<(), DeploymentError> {
        let ready = async {
            while !self
                .entries
                .iter()
                .all(|e| self.is_ready(&e.gate, endpoints))
            {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_elapsed| DeploymentError::NotReady)
    }

    /// Stops the entries gracefully, then the stand-ins.
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
    ) -> Result<(), DeploymentError> {
        let number = self.entries.len() + 1;
        let place = Place {
            node: format!("entry-{number}").parse()?,
            vm: format!("entry-vm-{number}").parse()?,
            domain: DomainName::new(domain)?,
            region: "local".parse()?,
        };
        let seed_peer = self.entries.first().map(|e| e.controller.addrs().rpc);
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
            peers: seed_peer.into_iter().collect(),
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
        self.entries.push(LocalEntry { controller, gate });
        Ok(())
    }
}

/// Runs a stand-in as a task on a free port and returns its address.
async fn spawn_stand_in<F>(
    stop: &CancellationToken,
    run: impl FnOnce(TcpListener, CancellationToken) -> F,
) -> Result<SocketAddr, DeploymentError>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(ANY_PORT).await?;
    let address = listener.local_addr()?;
    tokio::spawn(run(listener, stop.clone()));
    Ok(address)
}
