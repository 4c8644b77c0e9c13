//! Development tool: stand-ins for what surrounds the system, and a fault-injecting proxy.

use std::process::ExitCode;

use hawthornrack::lab_commands::Lab;

fn main() -> ExitCode {
    argh::from_env::<Lab>().run()
}
