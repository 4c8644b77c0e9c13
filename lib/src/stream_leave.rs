//! Moves a relay's request off an endpoint or gate whose VM has a reclaim notice.

use std::time::Duration;

use tokio::time::Instant;

use crate::EngineGeneration;
use crate::ReclaimInput;
use crate::ReclaimPlan;
use crate::RequestState;
use crate::counters::GateCounter;
use crate::engine_stream;
use crate::engine_stream::EngineStream;
use crate::hand_over;
use crate::plan_reclaim;
use crate::router;
use crate::stream_open::RESUME_TIMEOUT;
use crate::stream_relay::BYTES_PER_TOKEN;
use crate::stream_relay::HandoverTarget;
use crate::stream_relay::RelayItem;
use crate::stream_relay::StreamRelay;

impl StreamRelay {
    /// Handles a reclaim notice for the VM of the current endpoint, once per endpoint.
    pub(crate) async fn handle_endpoint_notice(&mut self) {
        let Some(generation) = self.generation.clone() else {
            return;
        };
        let Some(deadline) = self.gate.reclaim_deadline(&generation.endpoint) else {
            return;
        };
        if self.handled_notice.as_ref() == Some(&generation.endpoint.name) {
            return;
        }
        let remaining = deadline.since(self.gate.kernel.clock.now());
        let plan = plan_reclaim(self.reclaim_input(&generation, remaining));
        self.record_plan(&generation, plan);
        self.handled_notice = Some(generation.endpoint.name.clone());
        match plan {
            ReclaimPlan::Finish => {}
            ReclaimPlan::MoveCache => {
                if !self.transfer_cache(&generation, remaining).await {
                    self.cancel_and_exclude(&generation);
                }
            }
            ReclaimPlan::Resume => self.cancel_and_exclude(&generation),
        }
    }

    /// Cancels the generation and excludes its endpoint, so that another endpoint continues it.
    fn cancel_and_exclude(&mut self, generation: &EngineGeneration) {
        self.stream = None;
        engine_stream::cancel(&self.gate.http, generation);
        self.excluded_endpoints
            .push(generation.endpoint.name.clone());
    }

    /// Returns the input of the reclaim plan, with the cache size estimated from the token count.
    fn reclaim_input(&self, generation: &EngineGeneration, remaining: Duration) -> ReclaimInput {
        let position = self.text.position();
        let prompt = self.completion.request.prompt.len() as u64 / BYTES_PER_TOKEN;
        let cached = position.saturating_add(u32::try_from(prompt).unwrap_or(u32::MAX));
        let (kv_bytes, transfer_rate) = self.gate.transfers.estimate(cached);
        ReclaimInput {
            remaining,
            tokens_left: self.completion.request.max_tokens.saturating_sub(position),
            token_rate: self.token_rate(generation),
            kv_bytes,
            transfer_rate,
        }
    }

    /// Returns the tokens per second of the current stream, or zero when none is open.
    fn token_rate(&self, generation: &EngineGeneration) -> f64 {
        let Some(stream) = &self.stream else {
            return 0.0;
        };
        let tokens = self.text.position().saturating_sub(generation.base);
        let seconds = stream.opened_at.elapsed().as_secs_f64();
        if seconds > 0.0 {
            f64::from(tokens) / seconds
        } else {
            0.0
        }
    }

    /// Moves the generation with its cache to another endpoint of the same version.
    ///
    /// Returns whether the stream continues there.
    async fn transfer_cache(&mut self, generation: &EngineGeneration, remaining: Duration) -> bool {
        let mut excluded = self.excluded_endpoints.clone();
        excluded.push(generation.endpoint.name.clone());
        let Some(table) = self.gate.table() else {
            return false;
        };
        let version = &generation.endpoint.version;
        let target =
            router::select_endpoint(&self.gate, &table, &self.call, Some(version), &excluded);
        let Some(target) = target.filter(|t| t.version == *version) else {
            return false;
        };
        let started = Instant::now();
        let result =
            engine_stream::transfer_cache(&self.gate.http, generation, target, remaining).await;
        let (moved, handle) = match result {
            Ok(result) => result,
            Err(error) => {
                tracing::debug!(
                    %error,
                    endpoint = %generation.endpoint.name,
                    "cache transfer failed"
                );
                return false;
            }
        };
        let elapsed = started.elapsed();
        self.gate
            .transfers
            .record(handle.tokens, handle.bytes, elapsed);
        let position = self.text.position();
        let guard = self.gate.in_flight.enter(&moved.endpoint.name);
        let opened = engine_stream::resume(&self.gate.http, &moved, position, RESUME_TIMEOUT);
        match opened.await {
            Ok(response) => {
                self.gate.counters.add(GateCounter::CacheTransferred, 1);
                self.record_event("stream.moved", &moved.endpoint);
                self.attach(EngineStream::new(moved, position, response, guard));
                true
            }
            Err(error) => {
                tracing::debug!(
                    %error,
                    endpoint = %moved.endpoint.name,
                    "failed to open the moved stream"
                );
                engine_stream::cancel(&self.gate.http, &moved);
                false
            }
        }
    }

    /// Returns whether the request must continue at another gate.
    pub(crate) fn must_hand_over(&self) -> bool {
        !self.is_pinned && self.leave_deadline.borrow().is_some()
    }

    /// Hands the request over to another gate; returns whether one has accepted it.
    ///
    /// Does nothing if the rest of the stream can finish before this gate's VM is reclaimed.
    pub(crate) async fn hand_over(&mut self) -> bool {
        let deadline = *self.leave_deadline.borrow();
        if let (Some(generation), Some(deadline)) = (&self.generation, deadline) {
            let remaining = deadline.since(self.gate.kernel.clock.now());
            let plan = plan_reclaim(ReclaimInput {
                transfer_rate: 0.0,
                ..self.reclaim_input(generation, remaining)
            });
            if plan == ReclaimPlan::Finish {
                return false;
            }
        }
        let state = self.stream_state();
        let Some(peer) = hand_over::hand_over(&self.gate, &self.call.customer, state).await else {
            return false;
        };
        self.gate.counters.add(GateCounter::HandedOver, 1);
        self.gate.kernel.events.record(
            "request.handed_over",
            &[("request", &self.call.id), ("gate", &peer.callers)],
        );
        let _ = self.items.send(RelayItem::HandedOver(HandoverTarget {
            gate: peer,
            token: self.signed_token(),
            position: self.sent_position,
        }));
        true
    }

    /// Returns the state to hand over, or `None` when no generation runs.
    fn stream_state(&self) -> Option<RequestState> {
        Some(RequestState {
            token: self.resume_token()?,
            text: self.text.clone(),
        })
    }

    fn record_plan(&self, generation: &EngineGeneration, plan: ReclaimPlan) {
        self.gate.kernel.events.record(
            "stream.reclaim",
            &[
                ("request", &self.call.id),
                ("endpoint", &generation.endpoint.name),
                ("plan", &format!("{plan:?}")),
            ],
        );
    }
}
