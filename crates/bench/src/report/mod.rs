//! Tables, JSON and HTML with plots.

pub(crate) mod chart;
mod html;
mod latency;
mod plot;
mod summary;
mod table;

pub use html::HtmlReport;
pub use latency::{LatencyHistogram, LatencySummary};
pub use plot::{LinePlot, LineSeries};
pub use summary::{EngineShare, LoadSummary, SecondSummary, first_token_over_time};
pub use table::Table;
