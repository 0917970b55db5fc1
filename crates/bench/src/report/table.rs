//! Tables for terminals and HTML.

use std::fmt;

/// A table whose first column is text and whose others are figures.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    headers: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows.
    pub fn new(headers: &[&str]) -> Self {
        Self {
            headers: headers.iter().map(|&header| header.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row; missing cells stay empty.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        let mut row: Vec<String> = cells.into_iter().collect();
        row.resize(self.headers.len(), String::new());
        self.rows.push(row);
    }

    /// The table as HTML.
    pub fn html(&self) -> String {
        let cells = |row: &[String], tag: &str| {
            let cell = |text: &String| format!("<{tag}>{}</{tag}>", escape(text));
            row.iter().map(cell).collect::<String>()
        };
        let rows = self.rows.iter().map(|row| {
            let cells = cells(row, "td");
            format!("<tr>{cells}</tr>\n")
        });
        let rows: String = rows.collect();
        let headers = cells(&self.headers, "th");
        format!("<table>\n<tr>{headers}</tr>\n{rows}</table>\n")
    }

    fn widths(&self) -> Vec<usize> {
        (0..self.headers.len())
            .map(|column| {
                let rows = self.rows.iter().map(|row| row[column].chars().count());
                let header = self.headers[column].chars().count();
                rows.fold(header, usize::max)
            })
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in std::iter::once(&self.headers).chain(&self.rows) {
            for (column, (cell, width)) in row.iter().zip(&widths).enumerate() {
                if column == 0 {
                    write!(formatter, "{cell:<width$}")?;
                } else {
                    write!(formatter, "  {cell:>width$}")?;
                }
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}

/// `text` with the characters that HTML gives a meaning replaced.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
