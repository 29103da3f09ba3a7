//! Shrinking.
