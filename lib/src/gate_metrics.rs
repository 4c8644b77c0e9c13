//! Metrics and readiness of a gate.

use std::sync::Arc;

use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::GateCounts;
use crate::GatePlugin;
use crate::Result;
use crate::Stage;
use crate::metrics::Metrics;
use crate::ops::Observed;

inventory::submit! {
    GatePlugin {
        name: "metrics",
        stage: Stage::Listen,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let total = |name, unit, read: fn(&GateCounts) -> u64| {
        let weak = Arc::downgrade(gate);
        gate.metrics.observe_total(name, unit, move || {
            weak.upgrade().map_or(0, |g| read(&g.counters.read()))
        });
    };
    total("hawthornrack.attempt.retries", "{attempt}", |c| c.retries);
    total("hawthornrack.stream.resumed", "{stream}", |c| c.resumed);
    total("hawthornrack.stream.continued", "{stream}", |c| c.continued);
    total("hawthornrack.stream.moved", "{stream}", |c| c.moved);
    total("hawthornrack.tokens.recomputed", "{token}", |c| {
        c.recomputed
    });
    total("hawthornrack.request.handed_over", "{request}", |c| {
        c.handed_over
    });
    total("hawthornrack.answer.crossed", "{answer}", |c| c.crossed);
    let weak = Arc::downgrade(gate);
    gate.metrics
        .observe_level("hawthornrack.config.offset", "{record}", move || {
            let table = weak.upgrade().and_then(|g| g.table());
            table.map_or(0, |t| t.config.next.0)
        });
    let weak = Arc::downgrade(gate);
    gate.metrics
        .observe_level("hawthornrack.gate.load", "{thousandth}", move || {
            weak.upgrade().map_or(0, |g| u64::from(g.info().load))
        });
    Ok(())
}

impl Observed for Gate {
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
