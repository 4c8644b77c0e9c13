//! Metrics and readiness check of a gate.

use std::sync::Arc;

use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::GateCounts;
use crate::GatePlugin;
use crate::Result;
use crate::Stage;
use crate::metrics::Metrics;
use crate::ops::OpsSource;

inventory::submit! {
    GatePlugin {
        name: "metrics",
        stage: Stage::Listen,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "signature required by GatePlugin")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let counter = |name, unit, read: fn(&GateCounts) -> u64| {
        let weak = Arc::downgrade(gate);
        gate.metrics.register_counter(name, unit, move || {
            weak.upgrade().map_or(0, |g| read(&g.counters.read()))
        });
    };
    counter("hawthornrack.attempt.retries", "{attempt}", |c| c.retries);
    counter("hawthornrack.stream.resumed", "{stream}", |c| c.resumed);
    counter("hawthornrack.stream.continued", "{stream}", |c| c.continued);
    counter("hawthornrack.stream.moved", "{stream}", |c| {
        c.cache_transfers
    });
    counter("hawthornrack.tokens.recomputed", "{token}", |c| {
        c.recomputed
    });
    counter("hawthornrack.request.handed_over", "{request}", |c| {
        c.handed_over
    });
    counter("hawthornrack.answer.crossed", "{answer}", |c| c.mismatched);
    let weak = Arc::downgrade(gate);
    gate.metrics
        .register_gauge("hawthornrack.config.offset", "{record}", move || {
            let table = weak.upgrade().and_then(|g| g.table());
            table.map_or(0, |t| t.config.next.0)
        });
    let weak = Arc::downgrade(gate);
    gate.metrics
        .register_gauge("hawthornrack.gate.load", "{thousandth}", move || {
            weak.upgrade().map_or(0, |g| u64::from(g.info().load))
        });
    Ok(())
}

impl OpsSource for Gate {
    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn check_ready(&self) -> Result<()> {
        if self.table().is_none() {
            let detail = "no configuration is in force yet";
            return Err(Error::new(ErrorKind::NotReady, detail));
        }
        if self.isolation.is_isolated() {
            let detail = "neither the log nor another node can be reached";
            return Err(Error::new(ErrorKind::NotReady, detail));
        }
        if !self.info().accepting {
            return Err(Error::new(ErrorKind::Leaving, "the gate is stopping"));
        }
        Ok(())
    }
}
