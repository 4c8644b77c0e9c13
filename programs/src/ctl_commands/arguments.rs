//! Parsing of command-line arguments.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthornrack_lib::Timestamp;
use hawthornrack_lib::millis;

/// Global options that take a value.
const GLOBAL_OPTIONS: [&str; 2] = ["--server", "--token-file"];

/// Global options without a value.
const GLOBAL_SWITCHES: [&str; 1] = ["--json"];

/// Moves the global options before the subcommand, so that they can be given in any position.
///
/// Arguments after `--` stay in place.
pub(crate) fn hoist_global_options(args: &[String]) -> Vec<String> {
    let mut options = Vec::new();
    let mut command_args = Vec::new();
    let mut iter = args.iter();
    while let Some(arg) = iter.next() {
        if arg == "--" {
            command_args.push(arg.clone());
            command_args.extend(iter.by_ref().cloned());
        } else if GLOBAL_SWITCHES.contains(&arg.as_str()) {
            options.push(arg.clone());
        } else if GLOBAL_OPTIONS.contains(&arg.as_str()) {
            options.push(arg.clone());
            options.extend(iter.next().cloned());
        } else {
            command_args.push(arg.clone());
        }
    }
    options.append(&mut command_args);
    options
}

/// A time argument, absolute or relative to now.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimeArg {
    /// An absolute time.
    Absolute(Timestamp),
    /// A duration before or after now; see [`TimeArg::resolve_past`] and
    /// [`TimeArg::resolve_future`].
    Relative(Duration),
}

impl TimeArg {
    /// Returns the absolute time; a duration is added to `now`.
    pub(crate) fn resolve_future(self, now: Timestamp) -> Timestamp {
        match self {
            Self::Absolute(time) => time,
            Self::Relative(duration) => now.plus(duration),
        }
    }

    /// Returns the absolute time; a duration is subtracted from `now`.
    pub(crate) fn resolve_past(self, now: Timestamp) -> Timestamp {
        match self {
            Self::Absolute(time) => time,
            Self::Relative(duration) => Timestamp(now.0.saturating_sub(millis(duration))),
        }
    }
}

/// Parses a duration, as in `2h`, or a UTC time, as in `2026-12-03T20:00:00Z`.
pub(crate) fn parse_time_arg(text: &str) -> Result<TimeArg, String> {
    if let Ok(duration) = humantime::parse_duration(text) {
        return Ok(TimeArg::Relative(duration));
    }
    match humantime::parse_rfc3339_weak(text) {
        Ok(time) => Ok(TimeArg::Absolute(to_timestamp(time))),
        Err(_) => Err(format!(
            "{text:?} is neither a duration, as in 2h or 30m, nor a UTC time, \
             as in 2026-12-03T20:00:00Z"
        )),
    }
}

/// Returns the current wall-clock time.
pub(crate) fn now() -> Timestamp {
    to_timestamp(SystemTime::now())
}

fn to_timestamp(time: SystemTime) -> Timestamp {
    Timestamp(millis(time.duration_since(UNIX_EPOCH).unwrap_or_default()))
}
