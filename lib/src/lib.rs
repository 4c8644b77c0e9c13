//! Serving system for model-backed and ordinary services on reclaimable VMs.
//!
//! The library knows nothing of command lines; the programs are thin binaries over it.

mod engine;
mod error;
mod event;
mod http_client;
mod http_server;
mod ids;
pub mod operator_proto;
mod platform;
mod record;
mod service;
mod state;
mod table;
mod time;

pub use engine::*;
pub use error::*;
pub use event::*;
pub use http_client::*;
pub use http_server::*;
pub use ids::*;
pub use platform::*;
pub use record::*;
pub use service::*;
pub use state::*;
pub use table::*;
pub use time::*;
