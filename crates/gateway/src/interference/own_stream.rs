//! An open stream of this gateway.

use std::rc::Rc;

use driftspring_clock::Instant;

use super::service::ServiceInterference;
use super::token_time::StreamPace;
use crate::replicas::Replica;

/// Counts a stream with a pause target as running at its replica until it is dropped.
#[derive(Debug)]
pub struct OwnStream {
    replica: Rc<Replica>,
    service: Rc<ServiceInterference>,
    output_tokens: u32,
    pace: StreamPace,
}

impl OwnStream {
    /// Counts one more stream, which is expected to have so many output tokens; 0 if that is unknown.
    pub fn begin(
        replica: &Rc<Replica>,
        service: Rc<ServiceInterference>,
        output_tokens: u32,
    ) -> Self {
        replica.work.begin_own_stream();
        Self {
            replica: Rc::clone(replica),
            service,
            output_tokens,
            pace: StreamPace::new(),
        }
    }

    /// Records that events were read at `now`.
    pub fn record_events(&mut self, now: Instant) {
        self.pace.record_events(now);
    }

    /// Records that the stream was complete.
    pub fn record_end(&self) {
        if let Some(sample) = self.pace.time_per_token(self.output_tokens) {
            self.service.token_time.record(sample);
        }
    }
}

impl Drop for OwnStream {
    fn drop(&mut self) {
        self.replica.work.end_own_stream();
    }
}
