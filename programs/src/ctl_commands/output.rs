//! Output as tables or JSON.

use std::io::Write;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use comfy_table::ContentArrangement;
use comfy_table::Table;
use comfy_table::presets;
use hawthornrack_lib::Timestamp;
use serde::Serialize;

use super::exit::CommandError;

/// Last time that has an RFC 3339 text, in milliseconds since the Unix epoch.
const MAX_TIME_MS: u64 = 253_402_300_799_999;

/// Standard output in the form that the operator asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Creates an output; `json` selects JSON in place of tables.
    pub(crate) const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Tells whether JSON is printed.
    pub(crate) const fn is_json(self) -> bool {
        self.json
    }

    /// Prints a value as one line of JSON, or as the text that `render` makes of it.
    pub(crate) fn show<T: Serialize>(self, value: &T, render: impl FnOnce(&T) -> String) {
        if self.json {
            let text = serde_json::to_string(value).unwrap_or_default();
            print_line(&text);
        } else {
            print_line(render(value).trim_end());
        }
    }

    /// Prints an error to standard error.
    pub(crate) fn error(self, error: &CommandError) {
        if self.json {
            let value = serde_json::json!({"error": error.name(), "detail": error.to_string()});
            eprintln!("{value}");
        } else {
            eprintln!("hawthornctl: {error}");
        }
    }
}

/// Prints a line to standard output; a reader that went away is no fault.
pub(crate) fn print_line(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Creates an empty table with a header.
pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header.iter().map(|name| name.to_uppercase()));
    table
}

/// Returns a share in thousandths as a percentage.
pub(crate) fn percent(share: u32) -> String {
    format!("{}.{}%", share / 10, share % 10)
}

/// Returns a time as RFC 3339 text in UTC, `-` when it has none.
pub(crate) fn time_text(time: Timestamp) -> String {
    if time.0 > MAX_TIME_MS {
        return String::from("-");
    }
    let time = UNIX_EPOCH + Duration::from_millis(time.0);
    humantime::format_rfc3339_millis(time).to_string()
}

/// Returns `yes` or `no`.
pub(crate) const fn yes(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
