//! Load and experiment tool.
