//! Operators' command line.
