//! Watches for a reclaim notice of the gate's own machine.

use std::sync::Arc;

use crate::Gate;
use crate::GatePlugin;
use crate::Result;
use crate::Stage;

inventory::submit! {
    GatePlugin {
        name: "notice",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let watched = Arc::clone(gate);
    gate.kernel
        .spawn(async move { watch_notice(&watched).await });
    Ok(())
}

async fn watch_notice(gate: &Gate) {
    let mut tables = gate.subscribe_table();
    loop {
        let table = tables.borrow_and_update().clone();
        let deadline = table.and_then(|t| t.live.leaving.get(&gate.settings.place.vm).copied());
        if let Some(deadline) = deadline {
            gate.leave(deadline);
            return;
        }
        if tables.changed().await.is_err() {
            return;
        }
    }
}
