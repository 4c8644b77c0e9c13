//! The hawthornrack programs: each is a thin binary over a module here.

pub mod lab_commands;
