//! Stand-in: caller.

fn main() {}
