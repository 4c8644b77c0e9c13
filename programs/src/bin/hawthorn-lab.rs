//! Development tool: stand-ins for the platform and the endpoints, a fault-injecting proxy,
//! experiments, a scale measurement and a demo.

use std::process::ExitCode;

use hawthornrack::lab_commands::Lab;

fn main() -> ExitCode {
    argh::from_env::<Lab>().run()
}
