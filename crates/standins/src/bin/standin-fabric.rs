//! Stand-in: fabric.

fn main() {}
