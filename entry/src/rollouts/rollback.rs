//! Crashes at endpoints of a version that was rolled back: they are blamed on the version, not on
//! the requests that ran there, nor on parts of their prompts.

use tokio::time::Instant;

use crate::EndpointProcess;
use crate::Node;
use crate::Rollout;
use crate::RolloutState;
use crate::VersionSide;
use crate::placement::reservation::Reservation;

impl Node {
    /// Merges a rollout; returns whether it brought a newer order or a later stage.
    ///
    /// Once it is rolled back, the crashes so far at endpoints of its target that are still listed
    /// no longer count against requests and prompt parts.
    pub fn merge_rollout(&self, rollout: &Rollout) -> bool {
        let is_newer = self.rollouts.lock().merge(rollout);
        if is_newer {
            // Peers that ask for it get it at once.
            self.invalidate_state();
        }
        if is_newer && is_rolled_back(rollout) {
            self.forget_crashes(rollout);
        }
        is_newer
    }

    fn forget_crashes(&self, rollout: &Rollout) {
        let order = &rollout.order;
        let endpoints = self.endpoints.lock();
        let records = endpoints.iter().map(|(_, endpoint)| &endpoint.record);
        let processes: Vec<_> = records
            .filter(|r| r.service == order.service && r.version == order.target)
            .map(|r| (r.id.clone(), r.incarnation))
            .collect();
        drop(endpoints);
        let now = Instant::now();
        for (id, incarnation) in processes {
            let process = EndpointProcess::new(&id, incarnation);
            let mut requests = self.crashes.lock();
            requests.forget_crashes(&id, incarnation, now);
            drop(requests);
            let mut parts = self.part_crashes.lock();
            parts.forget_crashes(process, now);
        }
    }
}

impl Reservation {
    /// Returns whether the request was sent to the target of a rollout that has been rolled back
    /// since.
    pub(crate) fn is_rolled_back(&self) -> bool {
        let rollouts = self.node.rollouts.lock();
        let rollout = rollouts.get(&self.service);
        self.side == Some(VersionSide::Target) && rollout.is_some_and(is_rolled_back)
    }
}

fn is_rolled_back(rollout: &Rollout) -> bool {
    rollout
        .stage
        .is_some_and(|stage| stage.state == RolloutState::RolledBack)
}
