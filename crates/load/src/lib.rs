//! Load generation, experiments, reports and plots.
