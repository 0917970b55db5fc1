//! The model's clock reading.

use std::ops::Add;
use std::time::Duration;

/// A point in time, in microseconds since an origin that the caller chooses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelTime(pub u64);

impl ModelTime {
    /// The time since `earlier`; zero where `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ModelTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(microseconds))
    }
}
