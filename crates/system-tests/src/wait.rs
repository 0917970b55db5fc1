//! Running asynchronous tests and waiting for conditions.

use std::time::{Duration, Instant};

use ntex::rt::{DefaultRuntime, System};
use ntex::time::sleep;

/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs `test` on a new ntex system.
pub fn run<T: 'static>(test: impl Future<Output = T> + 'static) -> T {
    System::new("system-test", DefaultRuntime).block_on(test)
}

/// Waits until `condition` holds.
///
/// # Errors
///
/// It does not hold within `patience`; the error names `what`.
pub async fn wait_until(
    what: &str,
    patience: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + patience;
    while !condition().await {
        anyhow::ensure!(Instant::now() < deadline, "{what}: not within {patience:?}");
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
