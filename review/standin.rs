//! Stand-ins for the cases of the review, and the cases themselves: `standin CASE FOLDER`.
//!
//! A case exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
#![allow(dead_code, reason = "each case uses its own part")]

mod case1;
mod case2;
mod case3;
mod deployment;
mod http;
mod link;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match case.as_str() {
        "1" => case1::run(folder, with_trouble),
        "2" => case2::run(folder, with_trouble),
        "3" => case3::run(folder, with_trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
