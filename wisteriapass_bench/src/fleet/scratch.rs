//! Temporary directory for the settings and logs of the daemons.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of directories that this process has created.
static CREATED: AtomicU32 = AtomicU32::new(0);

/// A temporary directory that is removed when this is dropped.
pub(super) struct ScratchDir {
    path: PathBuf,
}

impl ScratchDir {
    /// Creates a new directory in the system's directory for temporary files.
    pub fn new() -> io::Result<Self> {
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let name = format!("wisteriapass-bench-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.path).ok();
    }
}
