//! Balancer daemon: receives encapsulated packets and forwards them to agents.
