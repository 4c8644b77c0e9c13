//! Reconciles the VMs of each service: starts replacements, declares their endpoints and removes
//! the endpoints of VMs that are gone.
//!
//! Starts are safe without a lease, since their tokens make them idempotent: while the log is down
//! any lease candidate may replace VMs. Changes to the configuration need the lease.

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
use crate::SlotGeneration;
use crate::Stage;
use crate::StartRequest;
use crate::VersionName;
use crate::Vm;
use crate::lease_keeper;
use crate::missing_starts;

/// Interval at which VMs are reconciled.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a request to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum silence of the log; beyond it VMs are replaced without a lease.
const MAX_LOG_SILENCE: Duration = Duration::from_secs(5);

/// One slot in this many gets an on-demand VM; the others get reclaimable VMs.
const SLOTS_PER_ON_DEMAND: u32 = 5;

/// Number of consecutive polls in which an endpoint's VM must be missing before the endpoint is
/// removed.
const MIN_ABSENT_POLLS: u32 = 3;

inventory::submit! {
    ControllerPlugin {
        name: "fleet-vms",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    if let Some(cloud) = controller.settings.platform.cloud {
        let reconciler = VmReconciler {
            controller: Arc::clone(controller),
            cloud,
            http: HttpClient::new(),
            requested: IndexSet::new(),
            refusals: 0,
            absent_polls: IndexMap::new(),
        };
        controller
            .kernel
            .spawn(async move { reconciler.run().await });
    }
    Ok(())
}

/// Reconciles the VMs of the services that this node is responsible for.
struct VmReconciler {
    controller: Arc<Controller>,
    cloud: SocketAddr,
    http: HttpClient,
    /// Starts that this process has requested and the cloud has confirmed.
    requested: IndexSet<SlotGeneration>,
    /// Number of refused starts; shifts the choice of failure domain and market.
    refusals: usize,
    /// Number of consecutive polls in which an endpoint's VM was missing.
    absent_polls: IndexMap<EndpointName, u32>,
}

impl VmReconciler {
    /// Reconciles the VMs at a fixed interval.
    async fn run(mut self) {
        loop {
            tokio::time::sleep(RECONCILE_INTERVAL).await;
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
            match self.list_vms().await {
                Ok(vms) => {
                    for service in &services {
                        self.reconcile(&config, service, &vms).await;
                    }
                }
                Err(error) => tracing::warn!(%error, "failed to list VMs"),
            }
        }
    }

    /// Returns whether this node may start VMs of a service.
    fn may_start(&self, service: &Service) -> bool {
        let duty = Duty::Service(service.name.clone());
        let leases = &self.controller.leases;
        let is_log_down = self.controller.contact.time_since_log_contact() > MAX_LOG_SILENCE;
        let is_candidate = lease_keeper::own_rank(&self.controller, &duty).is_some();
        leases.active_epoch(&duty).is_some() || is_log_down && is_candidate
    }

    /// Returns the VMs that the cloud lists.
    async fn list_vms(&self) -> Result<Vec<Vm>, SendError> {
        self.http
            .call(self.cloud, Method::GET, "/vms", None::<&()>, CLOUD_TIMEOUT)
            .await
    }

    /// Starts missing VMs and, with the lease, updates the declared endpoints.
    async fn reconcile(&mut self, config: &ConfigState, service: &Service, vms: &[Vm]) {
        let view = self.fleet_view(config, vms);
        for start in missing_starts(&view, &service.name, service.replicas) {
            self.start(service, start).await;
        }
        let duty = Duty::Service(service.name.clone());
        if self.controller.leases.active_epoch(&duty).is_some() {
            self.declare_endpoints(config, service, &view).await;
            self.remove_stale_endpoints(config, service, vms).await;
        }
    }

    fn fleet_view(&self, config: &ConfigState, vms: &[Vm]) -> FleetView {
        let running: IndexMap<SlotGeneration, Vm> = vms
            .iter()
            .filter_map(|vm| Some((SlotGeneration::from_token(&vm.token)?, vm.clone())))
            .collect();
        let declared = config.endpoints.keys();
        let known = declared.filter_map(SlotGeneration::from_endpoint_name);
        FleetView {
            running,
            leaving: self.controller.live().leaving.keys().cloned().collect(),
            known_starts: known.chain(self.requested.iter().cloned()).collect(),
        }
    }

    /// Requests a VM from the cloud; a retry after a lost response uses the same token.
    async fn start(&mut self, service: &Service, start: SlotGeneration) {
        let Some(domain) = self.choose_domain(&start) else {
            return;
        };
        let request = StartRequest {
            token: start.token(),
            class: vm_class(service).to_owned(),
            domain,
            market: self.choose_market(&start),
        };
        let response: Result<Vm, SendError> = self
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
        match response {
            Ok(vm) => {
                events.record("vm.started", &[("vm", &vm.name), ("token", &request.token)]);
                // Counts as known, so that the next generation is requested once this VM is gone.
                self.requested.insert(start);
            }
            Err(error) => {
                let fields: [(&str, &dyn ToString); 2] =
                    [("token", &request.token), ("error", &error)];
                events.record("vm.start_failed", &fields);
                self.refusals += usize::from(matches!(error, SendError::Status(..)));
            }
        }
    }

    /// Chooses the failure domain of a start: round robin over the members' domains, by slot and
    /// generation, and shifted by one with each refusal.
    fn choose_domain(&self, start: &SlotGeneration) -> Option<DomainName> {
        let members = self.controller.live.members();
        let domains: IndexSet<DomainName> = members.into_iter().map(|m| m.domain).collect();
        let mut domains: Vec<DomainName> = domains.into_iter().collect();
        domains.sort_unstable();
        let index = start.slot as usize + start.generation as usize + self.refusals;
        domains.get(index % domains.len().max(1)).cloned()
    }

    /// Chooses the market of a start: on demand for one in [`SLOTS_PER_ON_DEMAND`] slots, otherwise
    /// reclaimable.
    ///
    /// After as many refusals as there are members, every slot is requested on demand for the same
    /// number of refusals; then the cycle starts again.
    fn choose_market(&self, start: &SlotGeneration) -> Market {
        let members = self.controller.live.members().len().max(1);
        let all_refused = self.refusals % (2 * members) >= members;
        if start.slot.is_multiple_of(SLOTS_PER_ON_DEMAND) || all_refused {
            Market::OnDemand
        } else {
            Market::Reclaimable
        }
    }

    /// Declares the endpoints of VMs whose server has an address.
    async fn declare_endpoints(&self, config: &ConfigState, service: &Service, view: &FleetView) {
        let Some(version) = main_version(service) else {
            return;
        };
        for (start, vm) in &view.running {
            let (Some(name), Some(address)) = (start.endpoint_name(), vm.address) else {
                continue;
            };
            let is_leaving = view.leaving.contains(&vm.name);
            let is_known = config.endpoints.contains_key(&name);
            if start.service != service.name || is_leaving || is_known {
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

    /// Removes the fleet's endpoints whose VMs are gone.
    async fn remove_stale_endpoints(
        &mut self,
        config: &ConfigState,
        service: &Service,
        vms: &[Vm],
    ) {
        let running: IndexSet<&crate::VmName> = vms.iter().map(|vm| &vm.name).collect();
        let stale: IndexMap<EndpointName, crate::Offset> = config
            .endpoints
            .values()
            .filter(|e| e.value.service == service.name)
            .filter(|e| SlotGeneration::from_endpoint_name(&e.value.name).is_some())
            .filter(|e| !running.contains(&e.value.vm))
            .map(|e| (e.value.name.clone(), e.revision))
            .collect();
        let own = service.name.clone();
        self.absent_polls.retain(|name, _| {
            let is_own = SlotGeneration::from_endpoint_name(name).is_some_and(|s| s.service == own);
            !is_own || stale.contains_key(name)
        });
        for (name, base) in stale {
            let polls = self.absent_polls.entry(name.clone()).or_insert(0);
            *polls += 1;
            if *polls >= MIN_ABSENT_POLLS {
                self.submit(ConfigChange::DeleteEndpoint { base, name })
                    .await;
            }
        }
    }

    async fn submit(&self, change: ConfigChange) {
        if let Err(error) = self.controller.submit(change).await {
            tracing::warn!(%error, "failed to update the fleet's endpoints");
        }
    }
}

/// Returns the VM class that runs a service.
fn vm_class(service: &Service) -> &'static str {
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
