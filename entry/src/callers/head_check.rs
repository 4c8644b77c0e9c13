//! Checks of a request that need its head only.

use crate::Call;
use crate::Node;
use crate::Refusal;
use crate::RefusalKind;
use crate::log_limit;
use crate::serve::STARTUP_RETRY_AFTER;
use crate::serve::find_customer;

/// Checks configuration, route and key of a request whose body has not been read.
///
/// # Errors
///
/// Returns the refusal if the request would be refused whatever its body is.
pub fn check_head(node: &Node, call: &Call) -> Result<(), Refusal> {
    let checked = check(node, call);
    if let Err(refusal) = &checked {
        let outcome = refusal.kind.name();
        let status = refusal.kind.status();
        node.metrics
            .record_request(outcome, call.received.elapsed());
        if status >= 500 || log_limit::allows(outcome) {
            let path = &call.target;
            tracing::info!(event = "reply", id = call.id, path, outcome, status);
        }
    }
    checked
}

fn check(node: &Node, call: &Call) -> Result<(), Refusal> {
    let Some(config) = node.config() else {
        return Err(Refusal::with_retry_after(
            RefusalKind::NoConfig,
            STARTUP_RETRY_AFTER,
        ));
    };
    let Some(route) = config.route(&call.host, call.path()) else {
        return Err(Refusal::new(RefusalKind::NoRoute));
    };
    find_customer(&config, route, call)?;
    Ok(())
}
