//! Slots of a service's fleet, and the tokens that make a start of a machine idempotent.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointName;
use crate::ServiceName;
use crate::Vm;
use crate::VmName;

/// One generation of a slot: a machine that is to run an endpoint.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlotStart {
    /// Service.
    pub service: ServiceName,
    /// Slot, from zero to the number of replicas less one.
    pub slot: u32,
    /// Generation; a slot gets the next one when its machine is gone.
    pub generation: u32,
}

impl SlotStart {
    /// Returns the token of the start: two askers with the same token get one machine.
    pub fn token(&self) -> String {
        format!("{}/{}/{}", self.service, self.slot, self.generation)
    }

    /// Reads a token.
    pub fn from_token(token: &str) -> Option<Self> {
        let mut parts = token.split('/');
        let start = Self {
            service: parts.next()?.parse().ok()?,
            slot: parts.next()?.parse().ok()?,
            generation: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(start)
    }

    /// Returns the name of the endpoint on the machine.
    pub fn endpoint(&self) -> Option<EndpointName> {
        let Self {
            service,
            slot,
            generation,
        } = self;
        EndpointName::new(format!("{service}-slot{slot}-gen{generation}")).ok()
    }

    /// Reads the name of an endpoint that the fleet has made.
    pub fn from_endpoint(name: &EndpointName) -> Option<Self> {
        let (rest, generation) = name.as_str().rsplit_once("-gen")?;
        let (service, slot) = rest.rsplit_once("-slot")?;
        Some(Self {
            service: service.parse().ok()?,
            slot: slot.parse().ok()?,
            generation: generation.parse().ok()?,
        })
    }
}

/// What is known of a service's fleet when starts are decided.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Machines that run, by the start that gave them.
    pub running: IndexMap<SlotStart, Vm>,
    /// Machines under notice.
    pub leaving: IndexSet<VmName>,
    /// Starts that are known to have been asked for, running or not.
    pub known: IndexSet<SlotStart>,
}

/// Returns the starts that a service lacks, one for each empty slot.
///
/// A slot's next generation follows the highest one known, so that every node that knows the
/// same machines asks with the same token.
pub fn missing_starts(view: &FleetView, service: &ServiceName, replicas: u32) -> Vec<SlotStart> {
    (0..replicas)
        .filter_map(|slot| missing_start(view, service, slot))
        .collect()
}

fn missing_start(view: &FleetView, service: &ServiceName, slot: u32) -> Option<SlotStart> {
    let is_slot = |start: &&SlotStart| start.service == *service && start.slot == slot;
    let mut running = view.running.iter().filter(|(start, _)| is_slot(start));
    let is_filled = running.any(|(_, vm)| !view.leaving.contains(&vm.name));
    if is_filled {
        return None;
    }
    let known = view.known.iter().chain(view.running.keys());
    let newest = known.filter(is_slot).map(|start| start.generation).max();
    Some(SlotStart {
        service: service.clone(),
        slot,
        generation: newest.map_or(0, |generation| generation + 1),
    })
}
