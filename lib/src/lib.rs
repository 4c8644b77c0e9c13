//! Serving system for model-backed and ordinary services on reclaimable VMs.
//!
//! The library knows nothing of command lines; the programs are thin binaries over it.

mod attempt;
mod call;
mod config_store;
mod config_tail;
mod controller;
mod engine;
mod entries;
mod error;
mod event;
mod gate;
mod gate_http;
mod http_client;
mod http_server;
mod ids;
mod in_flight;
mod kernel;
mod link;
mod live_store;
mod log_client;
mod platform;
mod problem;
mod record;
mod router;
mod routing_table;
mod run;
mod service;
mod settings;
mod state;
mod table;
mod table_rpc;
mod time;

pub use call::token_hash;
pub use controller::*;
pub use engine::*;
pub use entries::*;
pub use error::*;
pub use event::*;
pub use gate::*;
pub use http_client::*;
pub use http_server::*;
pub use ids::*;
pub use kernel::*;
pub use log_client::*;
pub use platform::*;
pub use record::*;
pub use routing_table::*;
pub use service::*;
pub use settings::*;
pub use state::*;
pub use table::*;
pub use table_rpc::*;
pub use time::*;
