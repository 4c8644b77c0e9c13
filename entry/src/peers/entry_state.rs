//! State of this entry that peers get.

use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EndpointLoadReport;
use crate::EntryState;
use crate::Node;
use crate::Rollout;
use crate::RolloutEvidence;
use crate::ServiceName;
use crate::StateRevision;
use crate::refresh_interval;

/// Maximum number of crashing requests shared with peers.
const MAX_SHARED_CRASHES: usize = 8;

/// Number of usage windows shared with peers beyond those that may still be reported.
const EXTRA_SHARED_WINDOWS: u64 = 2;

/// Refresh interval of an entry's state while a rollout waits for requests on old versions to end.
const CUTOVER_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

impl Node {
    /// Returns this entry's state for peers, rebuilt once per refresh interval or when readiness
    /// changes; its version of the configuration, its time in contact with peers and the ages in its reports are always
    /// the current ones.
    pub fn own_state(&self) -> EntryState {
        let mut state = self.recent_state();
        // Peers send the complete configuration to an entry that states an older version.
        state.config = self.config_version();
        state.in_contact_ms = self.in_contact_ms(Instant::now());
        state
    }

    fn in_contact_ms(&self, now: Instant) -> u64 {
        crate::millis(self.contact.lock().duration(now))
    }

    fn recent_state(&self) -> EntryState {
        let now = Instant::now();
        let interval = if self.rollouts.lock().is_cutting_over() {
            CUTOVER_REFRESH_INTERVAL
        } else {
            refresh_interval(self.entry_count())
        };
        let mut cached_state = self.cached_state.lock();
        match &*cached_state {
            Some((at, state))
                if now.duration_since(*at) < interval
                    && state.ready == self.is_ready()
                    && state.reaches_endpoints == self.reaches_endpoints() =>
            {
                let mut state = state.clone();
                let kept = now.duration_since(*at);
                for report in &mut state.part_crashes {
                    report.add_age(kept);
                }
                for report in &mut state.limits {
                    report.add_age(kept);
                }
                state
            }
            _ => {
                let state = self.build_state();
                *cached_state = Some((now, state.clone()));
                state
            }
        }
    }

    /// Discards the cached state of this entry, so that the next exchange sends a new one.
    pub fn invalidate_state(&self) {
        *self.cached_state.lock() = None;
    }

    fn build_state(&self) -> EntryState {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let settings = &self.settings;
        let loads = self.endpoint_loads();
        let draining = self.draining_endpoints();
        let (rollouts, evidence) = self.rollout_state();
        let now = Instant::now();
        // Guards in the struct expression below would live to its end, so that several would be
        // held at a time.
        let lease = self.lease.lock().view();
        let prefilled = self.prefilled.lock().clone();
        let usage = self.usage.lock().newest(self.shared_window_count());
        let part_crashes = self.part_crashes.lock().reports(Instant::now());
        let limits = self.limits.lock().reports(now);
        let removed = self.endpoints.lock().recently_removed(Instant::now());
        let evacuations = self.endpoints.lock().evacuations().clone();
        let crashes = self.crashes.lock().recent_crashes(MAX_SHARED_CRASHES, now);
        let charged = self.quotas.lock().own_totals();
        let refunded = charged.iter().filter(|(_, t)| t.refunded > 0.0);
        let refunded = refunded.map(|(c, t)| (c.clone(), t.refunded));
        EntryState {
            name: settings.name.clone(),
            revision: StateRevision {
                incarnation: self.incarnation(),
                sequence,
            },
            peer_address: settings.peer_address,
            front_address: settings.front_address,
            forward_address: settings.forward_address,
            domain: settings.domain.clone(),
            link_mbps: settings.resources.link_mbps,
            ready: self.is_ready(),
            reaches_endpoints: self.reaches_endpoints(),
            config: self.config_version(),
            lease,
            in_contact_ms: self.in_contact_ms(now),
            limits,
            loads,
            admitted: charged
                .iter()
                .map(|(c, t)| (c.clone(), t.admitted))
                .collect(),
            refunded: refunded.collect(),
            prefilled,
            usage,
            crash_starts: crashes.iter().map(|(_, _, start)| *start).collect(),
            crashes: crashes.into_iter().map(|(f, id, _)| (f, id)).collect(),
            part_crashes,
            rollouts,
            evidence,
            draining_starts: draining.iter().map(|(_, start)| *start).collect(),
            draining: draining.into_iter().map(|(id, _)| id).collect(),
            removed,
            evacuations,
        }
    }

    /// Returns how many usage windows to share: those whose counts may not be final at the lease
    /// holder yet, which takes at most half of [`EntrySettings::usage_due`], and
    /// [`EXTRA_SHARED_WINDOWS`].
    fn shared_window_count(&self) -> usize {
        let max_finalization_delay_ms = crate::millis(self.settings.usage_due / 2);
        let open_windows =
            max_finalization_delay_ms.div_ceil(crate::millis(self.settings.usage_window).max(1));
        usize::try_from(open_windows + EXTRA_SHARED_WINDOWS).unwrap_or(usize::MAX)
    }

    fn rollout_state(&self) -> (Vec<Rollout>, IndexMap<ServiceName, RolloutEvidence>) {
        let rollouts = self.rollouts.lock();
        (rollouts.iter().cloned().collect(), rollouts.evidence())
    }

    /// Returns the endpoints that are draining, with the start of their incarnation.
    fn draining_endpoints(&self) -> Vec<(EndpointId, u64)> {
        let endpoints = self.endpoints.lock();
        let draining = endpoints.iter().filter(|(_, e)| e.is_draining);
        let draining = draining.map(|(_, e)| (e.record.id.clone(), e.record.incarnation));
        draining.collect()
    }

    fn endpoint_loads(&self) -> Vec<EndpointLoadReport> {
        let now = Instant::now();
        let endpoints = self.endpoints.lock();
        let mut loads = Vec::new();
        for (_, endpoint) in endpoints.iter() {
            let load = &endpoint.load;
            if load.own_running() > 0 {
                loads.push(EndpointLoadReport {
                    id: endpoint.record.id.clone(),
                    running: load.own_running(),
                    tokens: load.own_tokens(),
                    non_retryable: load.own_non_retryable(),
                    prefill: load.own_prefill(now),
                });
            }
        }
        loads
    }
}
