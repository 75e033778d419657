//! A directory for settings and logs of a test's daemons, removed at its end.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Directories made by this process so far.
static MADE: AtomicU32 = AtomicU32::new(0);

/// A directory that goes when this is dropped.
pub(super) struct Scratch {
    path: PathBuf,
}

impl Scratch {
    /// Makes a new directory among the system's temporary ones.
    pub fn new() -> io::Result<Self> {
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let name = format!("wisteriapass-bench-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.path).ok();
    }
}
