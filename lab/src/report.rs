//! Experiment reports, which are printed as Markdown tables.

use std::fmt::Display;
use std::fmt::Formatter;

/// Table of measurements.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Title, printed as a heading above the table.
    pub title: String,
    /// Column headers.
    pub columns: Vec<String>,
    /// Rows, with one cell for each column.
    pub rows: Vec<Vec<String>>,
}

/// Results of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Tables, in the order in which they are printed.
    pub tables: Vec<Table>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: impl Into<String>, columns: &[&str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.iter().map(ToString::to_string).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have one cell for each column.
    pub fn push_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "### {}\n", self.title)?;
        writeln!(f, "| {} |", self.columns.join(" | "))?;
        writeln!(f, "|{}", "---|".repeat(self.columns.len()))?;
        for row in &self.rows {
            writeln!(f, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for table in &self.tables {
            writeln!(f, "{table}")?;
        }
        Ok(())
    }
}

/// Returns a quantile by the nearest-rank method, or zero if there are no values.
///
/// `per_mille` is the quantile in thousandths, from 0 (minimum) to 1000 (maximum). Sorts the
/// values.
pub fn quantile(values: &mut [f64], per_mille: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() * per_mille).div_ceil(1000).saturating_sub(1);
    values.get(index).copied().unwrap_or_default()
}

/// Returns the median by the nearest-rank method, or zero if there are no values.
///
/// Sorts the values.
pub fn median(values: &mut [f64]) -> f64 {
    quantile(values, 500)
}
