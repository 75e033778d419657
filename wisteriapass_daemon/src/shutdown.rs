//! Graceful shutdown: a flag set by SIGTERM and SIGINT, and a counter of the work to wait for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::kernel::Service;

/// Shutdown flag of the process, and the number of its active requests or runs.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    requested: Arc<AtomicBool>,
    active_work: Arc<AtomicUsize>,
}

/// Counts as active work until it is dropped; a graceful shutdown waits for it.
#[derive(Debug)]
pub struct WorkGuard {
    active_work: Arc<AtomicUsize>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.active_work.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Service for Shutdown {
    const NAME: &'static str = "shutdown";
}

impl Shutdown {
    /// Creates a flag that is not set, without active work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the flag when the process receives SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// The system's error if the handlers cannot be installed.
    pub fn request_on_signals(&self) -> std::io::Result<()> {
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, self.requested.clone())?;
        }
        Ok(())
    }

    /// Registers work that a graceful shutdown waits for.
    pub fn begin_work(&self) -> WorkGuard {
        self.active_work.fetch_add(1, Ordering::AcqRel);
        WorkGuard {
            active_work: self.active_work.clone(),
        }
    }

    /// Returns the number of active requests or runs.
    pub fn active_work(&self) -> usize {
        self.active_work.load(Ordering::Acquire)
    }

    /// Sets the flag from within the process, for example when a newer incarnation has replaced it.
    pub fn request(&self) {
        self.requested.store(true, Ordering::Release);
    }

    /// Returns whether a shutdown was requested.
    pub fn is_requested(&self) -> bool {
        self.requested.load(Ordering::Acquire)
    }
}
