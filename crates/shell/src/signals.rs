//! Signals as flags.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// Whether the process was told to shut down. Clones share one flag.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    flag: Arc<AtomicBool>,
}

impl Shutdown {
    /// A flag that SIGTERM and SIGINT raise. A second signal ends the process at once, for an
    /// operator who does not want to wait.
    ///
    /// Errors: those of the system call.
    pub fn on_signal() -> io::Result<Self> {
        let shutdown = Self::default();
        for signal in [SIGTERM, SIGINT] {
            flag::register_conditional_shutdown(signal, 1, shutdown.flag.clone())?;
            flag::register(signal, shutdown.flag.clone())?;
        }
        Ok(shutdown)
    }

    /// Raises the flag.
    ///
    /// ```
    /// let shutdown = shell::signals::Shutdown::default();
    /// shutdown.request();
    /// assert!(shutdown.is_requested());
    /// ```
    pub fn request(&self) {
        self.flag.store(true, Ordering::SeqCst);
    }

    /// Whether the flag is raised.
    pub fn is_requested(&self) -> bool {
        self.flag.load(Ordering::Relaxed)
    }
}

/// Whether the process was told that its settings have changed. Clones share one flag.
#[derive(Clone, Debug, Default)]
pub struct Reload {
    flag: Arc<AtomicBool>,
}

impl Reload {
    /// A flag that SIGHUP raises; without it, the signal would end the process.
    ///
    /// Errors: those of the system call.
    pub fn on_signal() -> io::Result<Self> {
        let reload = Self::default();
        flag::register(SIGHUP, reload.flag.clone())?;
        Ok(reload)
    }

    /// Raises the flag.
    pub fn request(&self) {
        self.flag.store(true, Ordering::SeqCst);
    }

    /// Whether the flag was raised since the last call.
    ///
    /// ```
    /// let reload = shell::signals::Reload::default();
    /// reload.request();
    /// assert!(reload.take());
    /// assert!(!reload.take());
    /// ```
    pub fn take(&self) -> bool {
        self.flag.swap(false, Ordering::Relaxed)
    }
}
