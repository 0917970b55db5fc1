//! A directory for the files of one test.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use anyhow::Context;

static CREATED: AtomicU32 = AtomicU32::new(0);

/// A directory that is removed when dropped, unless it is to be kept.
#[derive(Debug)]
pub struct TemporaryDirectory {
    path: PathBuf,
    keep: bool,
}

impl TemporaryDirectory {
    /// Creates an empty directory.
    ///
    /// # Errors
    ///
    /// The operating system refuses it.
    pub fn create() -> anyhow::Result<Self> {
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let name = format!("driftspring-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).with_context(|| format!("create {}", path.display()))?;
        Ok(Self { path, keep: false })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Leaves the directory behind, for a look at a failed run.
    pub fn keep(&mut self) {
        self.keep = true;
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        if !self.keep {
            // What stays behind lies in the system's directory for temporary files.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
