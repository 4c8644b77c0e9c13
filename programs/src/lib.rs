//! What the hawthornrack programs have in common.

mod process;

pub mod ctl_commands;
pub mod lab_commands;

pub use process::Start;
pub use process::init_logs;
pub use process::print_ready;
pub use process::read_command_line;
pub use process::read_settings;
pub use process::wait_for_stop;
