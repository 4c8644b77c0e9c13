//! Moves a relay's request away from an endpoint or a gate whose machine is under notice.

use std::time::Duration;

use tokio::time::Instant;

use crate::EngineRun;
use crate::ReclaimFacts;
use crate::ReclaimPlan;
use crate::StreamState;
use crate::counters::Count;
use crate::engine_stream;
use crate::engine_stream::EngineStream;
use crate::hand_over;
use crate::reclaim_plan;
use crate::router;
use crate::stream_open::REOPEN_TIMEOUT;
use crate::stream_relay::HandedOver;
use crate::stream_relay::Relay;
use crate::stream_relay::RelayItem;
use crate::stream_relay::TOKEN_BYTES;

impl Relay {
    /// Acts on a notice for the endpoint that generates.
    pub(crate) async fn check_endpoint(&mut self) {
        let Some(run) = self.run.clone() else { return };
        let Some(deadline) = self.gate.leaving(&run.endpoint) else {
            return;
        };
        if self.finishing.as_ref() == Some(&run.endpoint.name) {
            return;
        }
        let remaining = deadline.since(self.gate.kernel.clock.now());
        let plan = reclaim_plan(self.facts(&run, remaining));
        self.record_plan(&run, plan);
        self.finishing = Some(run.endpoint.name.clone());
        match plan {
            ReclaimPlan::Finish => {}
            ReclaimPlan::MoveCache => {
                if !self.move_cache(&run, remaining).await {
                    self.leave(&run);
                }
            }
            ReclaimPlan::Resume => self.leave(&run),
        }
    }

    /// Gives the generation on an endpoint up, to be continued elsewhere.
    fn leave(&mut self, run: &EngineRun) {
        self.stream = None;
        engine_stream::cancel(&self.gate.http, run);
        self.tried.push(run.endpoint.name.clone());
    }

    fn facts(&self, run: &EngineRun, remaining: Duration) -> ReclaimFacts {
        let position = self.text.position();
        let prompt = self.wanted.known.prompt.len() as u64 / TOKEN_BYTES;
        let cached = position.saturating_add(u32::try_from(prompt).unwrap_or(u32::MAX));
        let (kv_bytes, transfer_rate) = self.gate.transfers.expect(cached);
        ReclaimFacts {
            remaining,
            tokens_left: self.wanted.known.max_tokens.saturating_sub(position),
            token_rate: self.token_rate(run),
            kv_bytes,
            transfer_rate,
        }
    }

    fn token_rate(&self, run: &EngineRun) -> f64 {
        let Some(stream) = &self.stream else {
            return 0.0;
        };
        let tokens = self.text.position().saturating_sub(run.base);
        let seconds = stream.opened.elapsed().as_secs_f64();
        if seconds > 0.0 {
            f64::from(tokens) / seconds
        } else {
            0.0
        }
    }

    async fn move_cache(&mut self, run: &EngineRun, remaining: Duration) -> bool {
        let mut tried = self.tried.clone();
        tried.push(run.endpoint.name.clone());
        let Some(table) = self.gate.table() else {
            return false;
        };
        let version = &run.endpoint.version;
        let target = router::choose(&self.gate, &table, &self.call, Some(version), &tried);
        let Some(target) = target.filter(|t| t.version == *version) else {
            return false;
        };
        let started = Instant::now();
        let moved = engine_stream::move_cache(&self.gate.http, run, target, remaining).await;
        let (moved, handle) = match moved {
            Ok(moved) => moved,
            Err(error) => {
                tracing::debug!(%error, endpoint = %run.endpoint.name, "cache not moved");
                return false;
            }
        };
        let took = started.elapsed();
        self.gate.transfers.learn(handle.tokens, handle.bytes, took);
        let position = self.text.position();
        let guard = self.gate.in_flight.enter(&moved.endpoint.name);
        let opened = engine_stream::reopen(&self.gate.http, &moved, position, REOPEN_TIMEOUT);
        match opened.await {
            Ok(answer) => {
                self.gate.counters.add(Count::Moved, 1);
                self.record("stream.moved", &moved.endpoint);
                self.adopt(EngineStream::new(moved, position, answer, guard));
                true
            }
            Err(error) => {
                tracing::debug!(%error, endpoint = %moved.endpoint.name, "moved stream not opened");
                engine_stream::cancel(&self.gate.http, &moved);
                false
            }
        }
    }

    /// Tells whether the request must go on at another gate.
    pub(crate) fn must_leave(&self) -> bool {
        !self.stays && self.notice.borrow().is_some()
    }

    /// Hands the request over to another gate; returns whether one takes it.
    pub(crate) async fn hand_over(&mut self) -> bool {
        let deadline = *self.notice.borrow();
        if let (Some(run), Some(deadline)) = (&self.run, deadline) {
            let remaining = deadline.since(self.gate.kernel.clock.now());
            let plan = reclaim_plan(ReclaimFacts {
                transfer_rate: 0.0,
                ..self.facts(run, remaining)
            });
            if plan == ReclaimPlan::Finish {
                return false;
            }
        }
        let state = self.state();
        let Some(peer) = hand_over::hand_over(&self.gate, &self.call.customer, state).await else {
            return false;
        };
        self.gate.counters.add(Count::HandedOver, 1);
        self.gate.kernel.events.record(
            "request.handed_over",
            &[("request", &self.call.id), ("gate", &peer.callers)],
        );
        let _ = self.out.send(RelayItem::HandedOver(HandedOver {
            gate: peer,
            token: self.token(),
            position: self.shown,
        }));
        true
    }

    fn state(&self) -> Option<StreamState> {
        Some(StreamState {
            token: self.resume_token()?,
            text: self.text.clone(),
        })
    }

    fn record_plan(&self, run: &EngineRun, plan: ReclaimPlan) {
        self.gate.kernel.events.record(
            "stream.reclaim",
            &[
                ("request", &self.call.id),
                ("endpoint", &run.endpoint.name),
                ("plan", &format!("{plan:?}")),
            ],
        );
    }
}
