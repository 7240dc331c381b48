//! Tables for people.

/// Rows under a line of titles.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with its titles.
    pub(crate) fn new(titles: &[&str]) -> Self {
        let titles = titles.iter().map(|title| (*title).to_owned()).collect();
        Self { rows: vec![titles] }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table with aligned columns.
    pub(crate) fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<_> = (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            println!("{}", line.trim_end());
        }
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Returns the text of a JSON value as a cell.
pub(crate) fn cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_owned(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
