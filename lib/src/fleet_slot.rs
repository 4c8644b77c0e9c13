//! Slots of a service's fleet, and the tokens that make VM starts idempotent.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointName;
use crate::ServiceName;
use crate::Vm;
use crate::VmName;

/// One generation of a slot, which is served by one VM with one endpoint.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlotGeneration {
    /// Service that the slot belongs to.
    pub service: ServiceName,
    /// Slot, from 0 up to but not including the number of replicas.
    pub slot: u32,
    /// Generation, from 0; incremented when the slot's VM is replaced.
    pub generation: u32,
}

impl SlotGeneration {
    /// Returns the idempotency token of the start: the cloud starts one VM for each token.
    pub fn token(&self) -> String {
        format!("{}/{}/{}", self.service, self.slot, self.generation)
    }

    /// Parses a token; returns `None` when it is not one of a fleet.
    pub fn from_token(token: &str) -> Option<Self> {
        let mut parts = token.split('/');
        let start = Self {
            service: parts.next()?.parse().ok()?,
            slot: parts.next()?.parse().ok()?,
            generation: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(start)
    }

    /// Returns the name of the endpoint on the VM; `None` when it would not be a valid name.
    pub fn endpoint_name(&self) -> Option<EndpointName> {
        let Self {
            service,
            slot,
            generation,
        } = self;
        EndpointName::new(format!("{service}-slot{slot}-gen{generation}")).ok()
    }

    /// Parses the name of an endpoint; returns `None` when no fleet declared it.
    pub fn from_endpoint_name(name: &EndpointName) -> Option<Self> {
        let (rest, generation) = name.as_str().rsplit_once("-gen")?;
        let (service, slot) = rest.rsplit_once("-slot")?;
        Some(Self {
            service: service.parse().ok()?,
            slot: slot.parse().ok()?,
            generation: generation.parse().ok()?,
        })
    }
}

/// Known state of the fleet, the input for deciding on starts.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Running VMs by the start that created them.
    pub running: IndexMap<SlotGeneration, Vm>,
    /// VMs under a reclaim notice.
    pub leaving: IndexSet<VmName>,
    /// Starts known to have been requested, whether their VM still runs or not.
    pub known_starts: IndexSet<SlotGeneration>,
}

/// Returns the starts that a service needs: one for each slot without a running VM that is free of
/// a reclaim notice.
///
/// The next generation of a slot follows the highest known one, so that all nodes that know the
/// same VMs request a start with the same token.
pub fn missing_starts(
    view: &FleetView,
    service: &ServiceName,
    replicas: u32,
) -> Vec<SlotGeneration> {
    (0..replicas)
        .filter_map(|slot| missing_start(view, service, slot))
        .collect()
}

fn missing_start(view: &FleetView, service: &ServiceName, slot: u32) -> Option<SlotGeneration> {
    let is_slot = |start: &&SlotGeneration| start.service == *service && start.slot == slot;
    let mut running = view.running.iter().filter(|(start, _)| is_slot(start));
    let is_filled = running.any(|(_, vm)| !view.leaving.contains(&vm.name));
    if is_filled {
        return None;
    }
    let known = view.known_starts.iter().chain(view.running.keys());
    let newest = known.filter(is_slot).map(|start| start.generation).max();
    Some(SlotGeneration {
        service: service.clone(),
        slot,
        generation: newest.map_or(0, |generation| generation + 1),
    })
}
