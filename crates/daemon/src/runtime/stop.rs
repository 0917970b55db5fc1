//! The order to stop, and the wait for open requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use ntex::rt::{Arbiter, System};
use ntex::time::sleep;
use tokio::sync::oneshot;

use crate::state::DaemonState;

/// How often open requests are counted during a planned stop.
const OPEN_REQUESTS_POLL: Duration = Duration::from_millis(10);

/// How a daemon stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopKind {
    /// Open requests are finished first.
    Planned,
    /// Every connection is dropped.
    AtOnce,
}

/// Gives the order to stop, once.
pub struct StopSender(Mutex<Option<oneshot::Sender<StopKind>>>);

/// Receives the order to stop.
pub struct StopReceiver(oneshot::Receiver<StopKind>);

/// A connected pair.
pub fn channel() -> (StopSender, StopReceiver) {
    let (sender, receiver) = oneshot::channel();
    (StopSender(Mutex::new(Some(sender))), StopReceiver(receiver))
}

impl StopSender {
    /// Orders the stop; further orders have no effect.
    pub fn stop(&self, kind: StopKind) {
        let sender = self.0.lock().ok().and_then(|mut sender| sender.take());
        if let Some(sender) = sender {
            let _ = sender.send(kind);
        }
    }
}

impl StopReceiver {
    /// Waits for the order; a sender that is gone means the process is ending.
    pub async fn wait(self) -> StopKind {
        self.0.await.unwrap_or(StopKind::AtOnce)
    }
}

/// Waits until no request is open, or the stop's time is over. The listener stays open meanwhile, so
/// that a connection already on its way gets its refusal instead of a reset.
pub async fn wait_for_open_requests(state: &Arc<DaemonState>) {
    let deadline = Instant::now() + state.settings.request.stop_timeout;
    while state.open_requests.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        sleep(OPEN_REQUESTS_POLL).await;
    }
}

/// Ends the threads of all HTTP workers of the current ntex system at once, with every connection
/// that is still open. A stop of the servers alone leaves their connections some seconds.
pub fn end_workers() {
    let own = Arbiter::current().id();
    System::current().list_arbiters(|arbiters| {
        let workers = arbiters.iter().filter(|arbiter| arbiter.id() != own);
        workers.for_each(Arbiter::stop);
    });
}
