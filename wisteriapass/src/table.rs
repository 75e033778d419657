//! Tables for text output.

use std::fmt;

/// A text table with aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

/// Separator between columns.
const COLUMN_SEPARATOR: &str = "  ";

impl Table {
    /// Creates a table with a row of headings.
    pub fn new<const N: usize>(headings: [&str; N]) -> Self {
        let mut table = Self::default();
        table.push_row(headings.map(String::from));
        table
    }

    /// Appends a row.
    pub fn push_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|r| r.get(column));
            cells.map(|c| c.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> = cells.map(|(c, w)| format!("{c:w$}")).collect();
            writeln!(f, "{}", padded.join(COLUMN_SEPARATOR).trim_end())?;
        }
        Ok(())
    }
}
