//! Entry point of the balancer daemon.

fn main() {}
