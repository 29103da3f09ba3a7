//! Entry point of the agent daemon.

fn main() {}
