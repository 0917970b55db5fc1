//! Tables, JSON and HTML with plots.
