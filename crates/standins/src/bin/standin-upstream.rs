//! Stand-in: upstream.

fn main() {}
