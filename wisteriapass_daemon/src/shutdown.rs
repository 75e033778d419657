//! Graceful stop: a flag that SIGTERM and SIGINT raise, and the work that is waited for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::kernel::Service;

/// Whether the process is stopping, and how much work goes on.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    raised: Arc<AtomicBool>,
    working: Arc<AtomicUsize>,
}

/// Work that a graceful stop waits for, until this is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    working: Arc<AtomicUsize>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.working.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Service for Shutdown {
    const NAME: &'static str = "stop";
}

impl Shutdown {
    /// Creates a flag that is not raised.
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the flag when the process is told to stop.
    ///
    /// # Errors
    ///
    /// The system's error if the handlers cannot be installed.
    pub fn request_on_signals(&self) -> std::io::Result<()> {
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, self.raised.clone())?;
        }
        Ok(())
    }

    /// Begins work that a graceful stop waits for.
    pub fn begin_work(&self) -> WorkGuard {
        self.working.fetch_add(1, Ordering::AcqRel);
        WorkGuard {
            working: self.working.clone(),
        }
    }

    /// Returns how much work goes on.
    pub fn active_work(&self) -> usize {
        self.working.load(Ordering::Acquire)
    }

    /// Raises the flag from within, for a process that was replaced.
    pub fn request(&self) {
        self.raised.store(true, Ordering::Release);
    }

    /// Returns whether the process is stopping.
    pub fn is_requested(&self) -> bool {
        self.raised.load(Ordering::Acquire)
    }
}
