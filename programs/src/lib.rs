//! What the hawthornrack programs have in common.

mod process;

pub use process::*;
