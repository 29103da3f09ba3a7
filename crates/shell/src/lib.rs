//! What both daemons share: the HTTP endpoint, the exchange of settings, signals, start-up faults
//! and UDP sockets that move datagrams in batches.

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
