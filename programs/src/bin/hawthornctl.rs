//! Command-line client for operators.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    hawthornrack::ctl_commands::run(&args).await
}
