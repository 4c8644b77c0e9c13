//! Startup and commands of the hawthornrack programs.

mod process;

pub mod ctl_commands;
pub mod lab_commands;

pub use process::Invocation;
pub use process::init_logging;
pub use process::parse_command_line;
pub use process::print_ready_line;
pub use process::read_settings;
pub use process::wait_for_shutdown;
