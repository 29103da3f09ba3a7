//! Code shared by both daemons: the HTTP endpoint, settings synchronization, signal handling,
//! start-up errors and UDP sockets that send and receive in batches.

pub mod backoff;
pub mod boottime;
pub mod fault;
pub mod http;
pub mod process;
pub mod scrape;
pub mod settings_sync;
pub mod signals;
pub mod status;
pub mod udp;
