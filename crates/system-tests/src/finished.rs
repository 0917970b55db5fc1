//! A run that is over, and what the checker finds in its history.

use anyhow::ensure;
use driftspring_check::{CheckSettings, Promise, Violation, check_all};
use driftspring_history::{History, write_history};

use crate::temporary::TemporaryDirectory;

/// A run that is over, with all its recordings.
pub struct FinishedRun {
    /// Everything that was recorded.
    pub history: History,
    directory: TemporaryDirectory,
}

impl FinishedRun {
    pub(crate) fn new(history: History, directory: TemporaryDirectory) -> Self {
        Self { history, directory }
    }

    /// The violations that the history shows.
    pub fn violations(&self, settings: &CheckSettings) -> Vec<Violation> {
        check_all(&self.history, settings)
    }

    /// Checks that every promise was kept; else leaves the recording behind and says where.
    ///
    /// # Errors
    ///
    /// A promise was broken.
    pub fn expect_kept(mut self, settings: &CheckSettings) -> anyhow::Result<()> {
        let violations = self.violations(settings);
        let place = self.keep_unless(violations.is_empty())?;
        ensure!(violations.is_empty(), "{violations:#?}; {place}");
        Ok(())
    }

    /// Checks that `promise` was broken, as it must be with its mechanism off.
    ///
    /// # Errors
    ///
    /// It was kept.
    pub fn expect_broken(
        mut self,
        promise: Promise,
        settings: &CheckSettings,
    ) -> anyhow::Result<()> {
        let violations = self.violations(settings);
        let broken = violations.iter().any(|found| found.promise == promise);
        let place = self.keep_unless(broken)?;
        ensure!(broken, "{promise} was kept: {violations:#?}; {place}");
        Ok(())
    }

    /// Keeps the recording unless all is well; returns where it is.
    fn keep_unless(&mut self, well: bool) -> anyhow::Result<String> {
        if well {
            return Ok(String::new());
        }
        self.directory.keep();
        let path = self.directory.path().join("history.jsonl");
        write_history(&path, &self.history)?;
        Ok(format!("recording: {}", path.display()))
    }
}
