//! Makes a gate leave when its own VM gets a reclaim notice.

use std::sync::Arc;

use crate::Gate;
use crate::GatePlugin;
use crate::Result;
use crate::Stage;

inventory::submit! {
    GatePlugin {
        name: "notice",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "signature required by GatePlugin")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let task = Arc::clone(gate);
    gate.kernel.spawn(async move { watch_notice(&task).await });
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
