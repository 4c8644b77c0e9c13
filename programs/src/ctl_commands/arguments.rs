//! Reading of command-line arguments.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthornrack_lib::Timestamp;
use hawthornrack_lib::millis;

/// Options of the program that take a value.
const VALUE_OPTIONS: [&str; 2] = ["--server", "--token-file"];

/// Options of the program that take no value.
const SWITCHES: [&str; 1] = ["--json"];

/// Moves the options of the program before the command, so that they may stand anywhere.
pub(crate) fn hoist_options(args: &[String]) -> Vec<String> {
    let mut options = Vec::new();
    let mut rest = Vec::new();
    let mut words = args.iter();
    while let Some(word) = words.next() {
        if word == "--" {
            rest.push(word.clone());
            rest.extend(words.by_ref().cloned());
        } else if SWITCHES.contains(&word.as_str()) {
            options.push(word.clone());
        } else if VALUE_OPTIONS.contains(&word.as_str()) {
            options.push(word.clone());
            options.extend(words.next().cloned());
        } else {
            rest.push(word.clone());
        }
    }
    options.append(&mut rest);
    options
}

/// A point in time, given as such or as a distance from now.
#[derive(Clone, Copy, Debug)]
pub(crate) enum When {
    /// A point in time.
    At(Timestamp),
    /// A distance from now.
    Distance(Duration),
}

impl When {
    /// Returns the point in time, with a distance counted forwards.
    pub(crate) fn after(self, now: Timestamp) -> Timestamp {
        match self {
            Self::At(time) => time,
            Self::Distance(distance) => now.plus(distance),
        }
    }

    /// Returns the point in time, with a distance counted backwards.
    pub(crate) fn before(self, now: Timestamp) -> Timestamp {
        match self {
            Self::At(time) => time,
            Self::Distance(distance) => Timestamp(now.0.saturating_sub(millis(distance))),
        }
    }
}

/// Reads a distance as in `2h`, or a point in time as in `2026-12-03T20:00:00Z`.
pub(crate) fn parse_when(text: &str) -> Result<When, String> {
    if let Ok(distance) = humantime::parse_duration(text) {
        return Ok(When::Distance(distance));
    }
    match humantime::parse_rfc3339_weak(text) {
        Ok(time) => Ok(When::At(timestamp(time))),
        Err(_) => Err(format!(
            "{text:?} is neither a distance from now, as in 2h or 30m, nor a point in time (UTC), \
             as in 2026-12-03T20:00:00Z"
        )),
    }
}

/// Returns the current wall time.
pub(crate) fn now() -> Timestamp {
    timestamp(SystemTime::now())
}

fn timestamp(time: SystemTime) -> Timestamp {
    Timestamp(millis(time.duration_since(UNIX_EPOCH).unwrap_or_default()))
}
