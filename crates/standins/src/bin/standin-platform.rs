//! Stand-in: platform.

fn main() {}
