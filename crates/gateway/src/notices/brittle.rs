//! Replicas that crash if they have to refuse many requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::concurrency_window::{ConcurrencyWindow, Division};

/// Share of its slots with which a gateway begins at a replica that says that it is brittle, and at those that are listed
/// beside it.
const FIRST_SHARE: f64 = 1.0;

/// The same at one that may have crashed lately: it broke off, or is listed since its service is known to be brittle.
const RETURN_SHARE: f64 = 0.5;

/// How long the replicas of a service are assumed to be brittle after one of them has said so.
const ASSUMPTION_LIFETIME: Duration = Duration::from_secs(10);

/// What is known of a brittle replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Brittle {
    /// Refusals per second that it tolerates.
    pub refusals_tolerated: u32,
    /// This gateway's window there.
    pub window: ConcurrencyWindow,
    /// Number of gateways among which its slots are divided.
    pub gateways: usize,
    /// When it last refused a request for want of room, as far as is known.
    pub refused_at: Option<Instant>,
}

/// The circumstances under which a window begins.
#[derive(Debug, Clone, Copy)]
pub struct WindowStart {
    /// How the slots of the replica are divided among the gateways.
    pub division: Division,
    /// Number of gateways.
    pub gateways: usize,
    /// A random number from 0 to 1.
    pub random: f64,
    /// The time.
    pub now: Instant,
}

impl WindowStart {
    fn window(self, share: f64) -> ConcurrencyWindow {
        ConcurrencyWindow::new(self.division, share, self.random, self.now)
    }
}

/// Whether a replica is brittle.
#[derive(Debug, Default)]
pub struct Brittleness {
    known: Cell<Option<Brittle>>,
    /// Whether that was told rather than assumed.
    is_told: Cell<bool>,
}

impl Brittleness {
    /// What is known of it, if the replica is brittle.
    pub fn get(&self) -> Option<Brittle> {
        self.known.get()
    }

    /// Records what an answer says. Returns whether that is a change.
    pub fn record(&self, tolerated: Option<u32>, start: impl FnOnce() -> WindowStart) -> bool {
        self.is_told.set(true);
        let known = self.known.get();
        let next = tolerated.map(|refusals_tolerated| match known {
            Some(known) => Brittle {
                refusals_tolerated,
                ..known
            },
            None => {
                let start = start();
                Brittle {
                    refusals_tolerated,
                    window: start.window(FIRST_SHARE),
                    gateways: start.gateways,
                    refused_at: None,
                }
            }
        });
        self.known.set(next);
        known.map(|known| known.refusals_tolerated) != tolerated
    }

    /// Assumes that a replica that is listed when another one of its service turns out to be brittle is brittle as well,
    /// until it has answered.
    pub fn assume(&self, refusals_tolerated: u32, start: impl FnOnce() -> WindowStart) {
        self.assume_with(FIRST_SHARE, refusals_tolerated, start);
    }

    /// The same for a replica that is listed later: it may have crashed and come back.
    pub fn assume_returned(&self, refusals_tolerated: u32, start: impl FnOnce() -> WindowStart) {
        self.assume_with(RETURN_SHARE, refusals_tolerated, start);
    }

    fn assume_with(
        &self,
        share: f64,
        refusals_tolerated: u32,
        start: impl FnOnce() -> WindowStart,
    ) {
        if !self.is_told.get() && self.known.get().is_none() {
            let start = start();
            self.known.set(Some(Brittle {
                refusals_tolerated,
                window: start.window(share),
                gateways: start.gateways,
                refused_at: None,
            }));
        }
    }

    /// Divides the slots of the replica anew if the number of gateways has changed.
    pub fn adjust(&self, gateways: usize, start: impl FnOnce() -> WindowStart) {
        self.update(|known| {
            if known.gateways != gateways {
                known.gateways = gateways;
                let start = start();
                known.window.set_division(start.division, start.now);
            }
        });
    }

    /// Records that the replica broke off or could not be reached: when it is back, it is used carefully.
    pub fn record_failure(&self, start: WindowStart) {
        self.update(|known| known.window = start.window(RETURN_SHARE));
    }

    /// Records a refusal. Returns whether the window has shrunk.
    pub fn record_refusal(&self, at: Instant) -> bool {
        let mut has_shrunk = false;
        self.update(|known| {
            known.refused_at = known.refused_at.max(Some(at));
            has_shrunk = known.window.record_refusal(at);
        });
        has_shrunk
    }

    /// Whether one more request may be sent with `open` of them open there.
    pub fn has_room(&self, open: u32, now: Instant) -> bool {
        let known = self.known.get();
        known.is_none_or(|known| known.window.has_room(open, now))
    }

    /// Changes what is known, if the replica is brittle.
    pub fn update(&self, change: impl FnOnce(&mut Brittle)) {
        if let Some(mut known) = self.known.get() {
            change(&mut known);
            self.known.set(Some(known));
        }
    }
}

/// The services of which a replica has lately said that it is brittle.
#[derive(Debug, Default)]
pub struct BrittleServices(RefCell<HashMap<String, (u32, Instant)>>);

impl BrittleServices {
    /// Records what a replica of the service says. Returns whether the service was not assumed to be brittle before.
    pub fn record(&self, service: &str, refusals_tolerated: u32, now: Instant) -> bool {
        let is_new = self.assumed(service, now).is_none();
        let mut services = self.0.borrow_mut();
        match services.get_mut(service) {
            Some(known) => *known = (refusals_tolerated, now),
            None => drop(services.insert(service.to_owned(), (refusals_tolerated, now))),
        }
        is_new
    }

    /// Whether any replica has said so yet.
    pub fn is_any(&self) -> bool {
        !self.0.borrow().is_empty()
    }

    /// The refusals per second that replicas of the service are assumed to tolerate, if they are assumed to be brittle.
    pub fn assumed(&self, service: &str, now: Instant) -> Option<u32> {
        let services = self.0.borrow();
        let (tolerated, at) = services.get(service)?;
        let age = now.saturating_duration_since(*at);
        (age < ASSUMPTION_LIFETIME).then_some(*tolerated)
    }
}
