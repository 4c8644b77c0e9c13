//! Ranked list of entry addresses, which callers request to choose an entry.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Response;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::GateInfo;
use crate::Member;
use crate::MemberState;
use crate::ResponseBody;
use crate::RoutingTable;
use crate::full_body;
use crate::millis;

/// Time for which a caller may cache the list.
const ENTRY_LIST_LIFETIME: Duration = Duration::from_secs(30);

/// Load above which a gate counts as overloaded and its entry is ranked last, in thousandths.
pub const OVERLOAD_THRESHOLD_PERMILLE: u32 = 900;

/// Entry addresses for a customer, in order of preference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryList {
    /// Addresses in the order in which to try them.
    pub entries: Vec<SocketAddr>,
    /// Time for which the list may be cached, in milliseconds.
    pub lifetime_ms: u64,
}

/// Ranks the entries for a customer, overloaded ones last.
///
/// Uses rendezvous hashing, so that customers are spread over the entries and the order of each
/// customer is stable while the members do not change. Source: Thaler and Ravishankar, "Using
/// name-based mappings to increase hit rates", 1998.
pub fn rank_entries(table: &RoutingTable, customer: &CustomerName) -> EntryList {
    let mut ranked: Vec<(bool, u64, SocketAddr)> = table
        .live
        .members
        .values()
        .filter_map(|m| accepting_gate(m, table).map(|gate| (m, gate)))
        .map(|(m, gate)| {
            let key = format!("{customer}/{}", m.node);
            let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
            (gate.load > OVERLOAD_THRESHOLD_PERMILLE, hash, gate.callers)
        })
        .collect();
    ranked.sort_unstable();
    EntryList {
        entries: ranked.into_iter().map(|(_, _, address)| address).collect(),
        lifetime_ms: millis(ENTRY_LIST_LIFETIME),
    }
}

/// Returns the member's gate if it accepts new callers.
///
/// A dead controller does not exclude its gate, which may be attached to another controller.
fn accepting_gate<'a>(member: &'a Member, _table: &RoutingTable) -> Option<&'a GateInfo> {
    let is_staying = member.state != MemberState::Leaving;
    member.gate.as_ref().filter(|g| is_staying && g.accepting)
}

/// Returns an HTTP response with the list as JSON.
pub(crate) fn entry_list_response(list: &EntryList) -> Response<ResponseBody> {
    let body = serde_json::to_vec(list).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
