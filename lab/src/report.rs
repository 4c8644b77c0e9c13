//! Report of an experiment: Markdown tables.

use std::fmt::Display;
use std::fmt::Formatter;

/// A table of figures.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Title.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows of cells.
    pub rows: Vec<Vec<String>>,
}

/// What an experiment measured.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Tables in order.
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

    /// Adds a row.
    pub fn push(&mut self, cells: Vec<String>) {
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

/// Returns the value below which the given thousandths of the values lie; zero without values.
pub fn quantile(values: &mut [f64], thousandths: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() * thousandths)
        .div_ceil(1000)
        .saturating_sub(1);
    values.get(index).copied().unwrap_or_default()
}

/// Returns the median; zero without values.
pub fn median(values: &mut [f64]) -> f64 {
    quantile(values, 500)
}
