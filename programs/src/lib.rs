//! What the hawthornrack programs have in common.

mod process;

pub mod lab_commands;

pub use process::*;
