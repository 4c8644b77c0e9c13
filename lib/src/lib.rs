//! Serving system for model-backed and ordinary services on reclaimable VMs.
//!
//! The library knows nothing of command lines; the programs are thin binaries over it.

mod declaration;
mod declaration_diff;
mod engine;
mod error;
mod event;
mod http_client;
mod http_server;
mod ids;
mod operator_convert;
pub mod operator_proto;
mod operator_report;
mod operator_report_convert;
mod operator_server;
mod platform;
mod record;
mod service;
mod state;
mod table;
mod time;
mod token;

pub use declaration::*;
pub use declaration_diff::*;
pub use engine::*;
pub use error::*;
pub use event::*;
pub use http_client::*;
pub use http_server::*;
pub use ids::*;
pub use operator_convert::FieldError;
pub use operator_report::*;
pub use operator_server::*;
pub use platform::*;
pub use record::*;
pub use service::*;
pub use state::*;
pub use table::*;
pub use time::*;
pub use token::*;
