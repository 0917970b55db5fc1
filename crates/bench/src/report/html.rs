//! A page with tables and plots that needs no other file.

use std::path::Path;

use anyhow::Context;

use super::plot::LinePlot;
use super::table::{Table, escape};

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:60em}\
table{border-collapse:collapse;margin:1em 0}\
th,td{border:1px solid #bbb;padding:.2em .6em;text-align:right}\
th:first-child,td:first-child{text-align:left}";

/// A page under construction.
#[derive(Debug, Clone)]
pub struct HtmlReport {
    title: String,
    body: String,
}

impl HtmlReport {
    /// A page without content.
    pub fn new(title: &str) -> Self {
        Self {
            title: escape(title),
            body: String::new(),
        }
    }

    /// Adds a section's heading.
    pub fn heading(&mut self, text: &str) {
        self.body.push_str(&format!("<h2>{}</h2>\n", escape(text)));
    }

    /// Adds a paragraph.
    pub fn paragraph(&mut self, text: &str) {
        self.body.push_str(&format!("<p>{}</p>\n", escape(text)));
    }

    /// Adds a table.
    pub fn table(&mut self, table: &Table) {
        self.body.push_str(&table.html());
    }

    /// Adds a plot.
    ///
    /// # Errors
    /// It can't be drawn.
    pub fn plot(&mut self, plot: &LinePlot) -> anyhow::Result<()> {
        self.body.push_str(&plot.svg()?);
        self.body.push('\n');
        Ok(())
    }

    /// The whole page.
    pub fn page(&self) -> String {
        format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>{title}</title><style>{STYLE}</style></head>\n<body><h1>{title}</h1>\n{}</body></html>\n",
            self.body,
            title = self.title,
        )
    }

    /// Writes the page to `path`.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> anyhow::Result<()> {
        std::fs::write(path, self.page()).with_context(|| format!("write {}", path.display()))
    }
}
