//! Output of commands as tables or JSON.

use std::io::Write;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use comfy_table::ContentArrangement;
use comfy_table::Table;
use comfy_table::presets;
use hawthornrack_lib::Timestamp;
use serde::Serialize;

use super::exit::CommandError;

/// Latest time that RFC 3339 can represent, in milliseconds since the Unix epoch.
const MAX_TIME_MS: u64 = 253_402_300_799_999;

/// Printer for results and errors in the format that the operator chose.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Creates a printer; `json` selects JSON instead of tables.
    pub(crate) const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Returns whether the format is JSON.
    pub(crate) const fn is_json(self) -> bool {
        self.json
    }

    /// Prints a value as one line of JSON, or as the text that `render` returns.
    pub(crate) fn print<T: Serialize>(self, value: &T, render: impl FnOnce(&T) -> String) {
        if self.json {
            let text = serde_json::to_string(value).unwrap_or_default();
            print_line(&text);
        } else {
            print_line(render(value).trim_end());
        }
    }

    /// Prints an error to standard error.
    pub(crate) fn print_error(self, error: &CommandError) {
        if self.json {
            let value = serde_json::json!({"error": error.name(), "detail": error.to_string()});
            eprintln!("{value}");
        } else {
            eprintln!("hawthornctl: {error}");
        }
    }
}

/// Prints a line to standard output; write errors, as from a closed pipe, are ignored.
pub(crate) fn print_line(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Creates an empty table with a header.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header.iter().map(|name| name.to_uppercase()));
    table
}

/// Formats a number of thousandths as a percentage.
pub(crate) fn format_percent(thousandths: u32) -> String {
    format!("{}.{}%", thousandths / 10, thousandths % 10)
}

/// Formats a time as RFC 3339 text in UTC, or `-` if RFC 3339 cannot represent it.
pub(crate) fn format_time(time: Timestamp) -> String {
    if time.0 > MAX_TIME_MS {
        return String::from("-");
    }
    let time = UNIX_EPOCH + Duration::from_millis(time.0);
    humantime::format_rfc3339_millis(time).to_string()
}

/// Formats a Boolean as `yes` or `no`.
pub(crate) const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
