//! Keeps the machines of each service running: starts replacements, declares their endpoints
//! and removes the endpoints of machines that are gone.
//!
//! Starts need no lease, since their tokens make them idempotent; while the log is down any
//! candidate may replace machines. Changes of the configuration need the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::DomainName;
use crate::Duty;
use crate::Endpoint;
use crate::EndpointName;
use crate::FleetView;
use crate::HttpClient;
use crate::Market;
use crate::Result;
use crate::SendError;
use crate::Service;
use crate::ServiceKind;
use crate::SlotStart;
use crate::Stage;
use crate::StartRequest;
use crate::VersionName;
use crate::Vm;
use crate::lease_keeper;
use crate::missing_starts;

/// Time between two looks at the machines.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which the cloud must answer.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence of the log after which machines are replaced without a lease.
const LOG_SILENCE: Duration = Duration::from_secs(5);

/// Slots of which one is kept on demand.
const SLOTS_PER_FLOOR: u32 = 5;

/// Looks at the machines without one after which its endpoint is removed.
const ABSENT_LOOKS: u32 = 3;

inventory::submit! {
    ControllerPlugin {
        name: "fleet-vms",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    if let Some(cloud) = controller.settings.platform.cloud {
        let keeper = Keeper {
            controller: Arc::clone(controller),
            cloud,
            http: HttpClient::new(),
            asked: IndexSet::new(),
            refused: 0,
            absent: IndexMap::new(),
        };
        controller.kernel.spawn(async move { keeper.keep().await });
    }
    Ok(())
}

struct Keeper {
    controller: Arc<Controller>,
    cloud: SocketAddr,
    http: HttpClient,
    /// Starts that this process has asked for and got an answer to.
    asked: IndexSet<SlotStart>,
    /// Starts refused so far; moves the choice of the failure domain on.
    refused: usize,
    /// Looks in which an endpoint's machine was missing.
    absent: IndexMap<EndpointName, u32>,
}

impl Keeper {
    async fn keep(mut self) {
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            let Some(config) = self.controller.config() else {
                continue;
            };
            let services: Vec<Service> = config
                .services
                .values()
                .map(|s| s.value.clone())
                .filter(|s| s.replicas > 0 && self.may_start(s))
                .collect();
            if services.is_empty() {
                continue;
            }
            match self.running().await {
                Ok(vms) => {
                    for service in &services {
                        self.look_at(&config, service, &vms).await;
                    }
                }
                Err(error) => tracing::warn!(%error, "listing the machines failed"),
            }
        }
    }

    /// Tells whether this node starts a service's machines.
    fn may_start(&self, service: &Service) -> bool {
        let duty = Duty::Service(service.name.clone());
        let leases = &self.controller.leases;
        let is_log_down = self.controller.contact.log_silence() > LOG_SILENCE;
        let is_candidate = lease_keeper::own_rank(&self.controller, &duty).is_some();
        leases.may_act(&duty).is_some() || is_log_down && is_candidate
    }

    async fn running(&self) -> Result<Vec<Vm>, SendError> {
        self.http
            .call(self.cloud, Method::GET, "/vms", None::<&()>, CLOUD_TIMEOUT)
            .await
    }

    async fn look_at(&mut self, config: &ConfigState, service: &Service, vms: &[Vm]) {
        let view = self.view(config, vms);
        for start in missing_starts(&view, &service.name, service.replicas) {
            self.start(service, start).await;
        }
        let duty = Duty::Service(service.name.clone());
        if self.controller.leases.may_act(&duty).is_some() {
            self.declare(config, service, &view).await;
            self.remove_gone(config, service, vms).await;
        }
    }

    fn view(&self, config: &ConfigState, vms: &[Vm]) -> FleetView {
        let running: IndexMap<SlotStart, Vm> = vms
            .iter()
            .filter_map(|vm| Some((SlotStart::from_token(&vm.token)?, vm.clone())))
            .collect();
        let declared = config.endpoints.keys();
        let known = declared.filter_map(SlotStart::from_endpoint);
        FleetView {
            running,
            leaving: self.controller.live().leaving.keys().cloned().collect(),
            known: known.chain(self.asked.iter().cloned()).collect(),
        }
    }

    /// Asks the cloud for a machine; after a lost answer the same token is asked for again.
    async fn start(&mut self, service: &Service, start: SlotStart) {
        let Some(domain) = self.domain(&start) else {
            return;
        };
        let request = StartRequest {
            token: start.token(),
            class: class_of(service).to_owned(),
            domain,
            market: self.market(&start),
        };
        let answer: Result<Vm, SendError> = self
            .http
            .call(
                self.cloud,
                Method::POST,
                "/vms",
                Some(&request),
                CLOUD_TIMEOUT,
            )
            .await;
        let events = &self.controller.kernel.events;
        match answer {
            Ok(vm) => {
                events.record("vm.started", &[("vm", &vm.name), ("token", &request.token)]);
                // When this machine is not running either, the next generation is asked for.
                self.asked.insert(start);
            }
            Err(error) => {
                let fields: [(&str, &dyn ToString); 2] =
                    [("token", &request.token), ("error", &error)];
                events.record("vm.start_failed", &fields);
                self.refused += usize::from(matches!(error, SendError::Status(..)));
            }
        }
    }

    /// Spreads the slots over the members' failure domains, and moves on after refusals.
    fn domain(&self, start: &SlotStart) -> Option<DomainName> {
        let members = self.controller.live.members();
        let domains: IndexSet<DomainName> = members.into_iter().map(|m| m.domain).collect();
        let mut domains: Vec<DomainName> = domains.into_iter().collect();
        domains.sort_unstable();
        let index = start.slot as usize + start.generation as usize + self.refused;
        domains.get(index % domains.len().max(1)).cloned()
    }

    /// Keeps a floor of machines on demand, and takes these where no other start succeeds.
    fn market(&self, start: &SlotStart) -> Market {
        let domains = self.controller.live.members().len().max(1);
        let all_refused = self.refused % (2 * domains) >= domains;
        if start.slot.is_multiple_of(SLOTS_PER_FLOOR) || all_refused {
            Market::OnDemand
        } else {
            Market::Reclaimable
        }
    }

    /// Declares the endpoints of machines whose server runs.
    async fn declare(&self, config: &ConfigState, service: &Service, view: &FleetView) {
        let Some(version) = main_version(service) else {
            return;
        };
        for (start, vm) in &view.running {
            let (Some(name), Some(address)) = (start.endpoint(), vm.address) else {
                continue;
            };
            let leaves = view.leaving.contains(&vm.name);
            let known = config.endpoints.contains_key(&name);
            if start.service != service.name || leaves || known {
                continue;
            }
            let endpoint = Endpoint {
                name,
                service: service.name.clone(),
                version: version.clone(),
                address,
                vm: vm.name.clone(),
                domain: vm.domain.clone(),
            };
            self.submit(ConfigChange::PutEndpoint {
                base: None,
                endpoint,
            })
            .await;
        }
    }

    /// Removes the fleet's endpoints whose machines are gone.
    async fn remove_gone(&mut self, config: &ConfigState, service: &Service, vms: &[Vm]) {
        let running: IndexSet<&crate::VmName> = vms.iter().map(|vm| &vm.name).collect();
        let gone: IndexMap<EndpointName, crate::Offset> = config
            .endpoints
            .values()
            .filter(|e| e.value.service == service.name)
            .filter(|e| SlotStart::from_endpoint(&e.value.name).is_some())
            .filter(|e| !running.contains(&e.value.vm))
            .map(|e| (e.value.name.clone(), e.revision))
            .collect();
        let prefix = service.name.clone();
        self.absent.retain(|name, _| {
            let is_own = SlotStart::from_endpoint(name).is_some_and(|s| s.service == prefix);
            !is_own || gone.contains_key(name)
        });
        for (name, base) in gone {
            let looks = self.absent.entry(name.clone()).or_insert(0);
            *looks += 1;
            if *looks >= ABSENT_LOOKS {
                self.submit(ConfigChange::DeleteEndpoint { base, name })
                    .await;
            }
        }
    }

    async fn submit(&self, change: ConfigChange) {
        if let Err(error) = self.controller.submit(change).await {
            tracing::warn!(%error, "changing the fleet's endpoints failed");
        }
    }
}

/// Returns the machine class that runs a service.
fn class_of(service: &Service) -> &'static str {
    match service.kind {
        ServiceKind::Model => "accelerator",
        ServiceKind::Plain => "general",
    }
}

/// Returns the version with the largest share.
fn main_version(service: &Service) -> Option<&VersionName> {
    let versions = service.versions.iter();
    versions
        .max_by_key(|(_, version)| version.share)
        .map(|(name, _)| name)
}
