//! What the hawthornrack programs have in common.

mod process;

pub mod ctl_commands;
pub mod lab_commands;

pub use process::*;
