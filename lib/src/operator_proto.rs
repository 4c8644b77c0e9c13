//! Messages, client and server of the operator RPC, generated from `proto/operator.proto`.

#![allow(
    clippy::all,
    clippy::pedantic,
    clippy::allow_attributes,
    clippy::clone_on_ref_ptr,
    missing_debug_implementations,
    missing_docs,
    unused_qualifications,
    reason = "generated code"
)]

include!("generated/hawthornrack.operator.v1.rs");
