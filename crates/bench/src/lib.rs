//! Load, experiments, plots and scale runs for driftspring.
