//! Samples of answered prefixes, on their way from the request path to the warming of engines.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

use driftspring_control::hot_prefixes::PrefixSample;
use driftspring_settings::Settings;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Samples that may wait; further ones are dropped.
const MAX_WAITING_SAMPLES: usize = 256;
/// One request in so many is sampled.
const SAMPLING_INTERVAL: u32 = 4;

/// The way of the samples. Giving one never waits.
pub struct PrefixSamples {
    sender: Option<Sender<PrefixSample>>,
    receiver: Mutex<Option<Receiver<PrefixSample>>>,
    requests: AtomicU32,
}

impl PrefixSamples {
    /// Samples are taken only where there is a store of kept KV cache, and the settings use it.
    pub fn new(settings: &Settings) -> Self {
        let is_used = settings.platform.kv_store.is_some() && settings.routing.use_kept_cache;
        let (sender, receiver) = match is_used {
            true => {
                let (sender, receiver) = channel(MAX_WAITING_SAMPLES);
                (Some(sender), Some(receiver))
            }
            false => (None, None),
        };
        Self {
            sender,
            receiver: Mutex::new(receiver),
            requests: AtomicU32::new(0),
        }
    }

    /// Counts an answered request; every fourth one gives the sample that `make` makes.
    pub fn observe(&self, make: impl FnOnce() -> PrefixSample) {
        let Some(sender) = &self.sender else {
            return;
        };
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        if number.is_multiple_of(SAMPLING_INTERVAL) {
            let _ = sender.try_send(make());
        }
    }

    /// The receiving end, once; nothing where no samples are taken.
    pub fn take_receiver(&self) -> Option<Receiver<PrefixSample>> {
        self.receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}
