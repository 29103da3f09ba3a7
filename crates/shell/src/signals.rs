//! Process signals, exposed as flags that threads poll.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// Flag that requests the shutdown of the process. Clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    flag: Arc<AtomicBool>,
}

impl Shutdown {
    /// Returns a flag that SIGTERM and SIGINT set. A second signal ends the process at once, for an
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

    /// Sets the flag.
    ///
    /// ```
    /// let shutdown = shell::signals::Shutdown::default();
    /// shutdown.request();
    /// assert!(shutdown.is_requested());
    /// ```
    pub fn request(&self) {
        self.flag.store(true, Ordering::SeqCst);
    }

    /// Returns whether the flag is set.
    pub fn is_requested(&self) -> bool {
        self.flag.load(Ordering::Relaxed)
    }
}

/// Flag that requests a reload of the settings. Clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct Reload {
    flag: Arc<AtomicBool>,
}

impl Reload {
    /// Returns a flag that SIGHUP sets. Without a handler, the signal would end the process.
    ///
    /// Errors: those of the system call.
    pub fn on_signal() -> io::Result<Self> {
        let reload = Self::default();
        flag::register(SIGHUP, reload.flag.clone())?;
        Ok(reload)
    }

    /// Sets the flag.
    pub fn request(&self) {
        self.flag.store(true, Ordering::SeqCst);
    }

    /// Clears the flag and returns whether it was set.
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
