//! Columns of text.

use std::fmt;

/// Space between two columns.
const GAP: &str = "  ";

/// A table with a header row. Each column is as wide as its widest cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with this header row.
    pub(crate) fn new<const N: usize>(head: [&str; N]) -> Self {
        Self { rows: vec![head.map(str::to_owned).to_vec()] }
    }

    /// Adds a row. It may have fewer cells than the header row.
    pub(crate) fn push_row(&mut self, cells: impl Into<Vec<String>>) {
        self.rows.push(cells.into());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |cell: &String| cell.chars().count();
        let column = |index: usize| self.rows.iter().filter_map(move |row| row.get(index));
        (0..columns).map(|index| column(index).map(width).max().unwrap_or(0)).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join(GAP);
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
