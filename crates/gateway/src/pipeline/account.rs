//! Tracks one request from its arrival to its end, however it ends: open requests, metrics and log lines.

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use ntex::http::ConnectionType;
use ntex::io::IoRef;
use ntex::web::HttpResponse;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::pace::StreamTiming;
use crate::callers::socket::CallerSocket;
use crate::configuration::Route;
use crate::connections::OpenRequest;
use crate::state::GatewayState;

/// Tracks one request. If it is dropped unfinished, the caller has left.
pub struct RequestTracker {
    state: Rc<GatewayState>,
    connection: Option<OpenRequest>,
    socket: Option<CallerSocket>,
    arrived_at: Instant,
    id: String,
    route: String,
    pause_target: Option<Duration>,
    timing: StreamTiming,
    is_finished: bool,
}

impl RequestTracker {
    /// Starts tracking a request.
    pub fn open(state: &Rc<GatewayState>, connection: Option<&IoRef>, arrived_at: Instant) -> Self {
        state.status.open_requests.fetch_add(1, Ordering::AcqRel);
        let socket = connection.and_then(CallerSocket::of);
        if let Some(socket) = &socket {
            socket.begin_request();
        }
        Self {
            state: Rc::clone(state),
            connection: connection.map(|io| state.callers.record_request_start(io)),
            socket,
            arrived_at,
            id: String::new(),
            route: String::new(),
            pause_target: None,
            timing: StreamTiming::default(),
            is_finished: false,
        }
    }

    /// Sets the request's id.
    pub fn set_request_id(&mut self, id: &str) {
        self.id = id.to_owned();
    }

    /// Sets the request's route.
    pub fn set_route(&mut self, route: &Route) {
        self.route = route.name.clone();
        self.pause_target = route.pause_target;
    }

    /// Request id; empty if there is none.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Name of the request's route; empty if there is none.
    pub fn route(&self) -> &str {
        &self.route
    }

    /// When the request arrived.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }

    /// Records that the request is a stream, which ends as soon as its caller ends its side of the connection.
    pub fn end_with_caller(&self) {
        if let Some(socket) = &self.socket {
            socket.end_with_caller();
        }
    }

    /// Records that the whole answer is known, and is being sent from now on.
    pub fn begin_answer(&self) {
        if let Some(socket) = &self.socket {
            socket.begin_answer();
        }
    }

    /// Records that the head of a replica's answer has arrived.
    pub fn record_answer_head(&self) {
        self.state
            .status
            .metrics
            .time_to_answer
            .observe(self.arrived_at.elapsed());
    }

    /// Records that events of a stream were forwarded.
    pub fn record_events(&mut self) {
        let pause = self.timing.record_events(self.arrived_at, Instant::now());
        if self.pause_target.is_some_and(|target| pause > target) {
            self.state.status.metrics.pauses_over_target.inc();
        }
    }

    /// Records that the answer was complete.
    pub fn record_completion(&mut self, replica: &str, status: u16) {
        self.is_finished = true;
        let elapsed = self.arrived_at.elapsed();
        self.state.status.metrics.answered.inc();
        self.state.status.metrics.request_duration.observe(elapsed);
        log_event!(
            gateway::REQUEST_ENDED,
            "request={} route={} replica={replica} status={status} elapsed={elapsed:?} first_event={:?} longest_pause={:?} pause_target={:?}",
            self.id,
            self.route,
            self.timing.first_event_after(),
            self.timing.longest_pause(),
            self.pause_target
        );
    }

    /// Records that the gateway answers the request itself.
    pub fn record_refusal(&mut self) {
        self.is_finished = true;
        self.state.status.metrics.refused.inc();
    }

    /// Records that the answer was cut off.
    pub fn record_cut(&mut self, reason: &str) {
        self.is_finished = true;
        self.state.status.metrics.cut.inc();
        log_event!(
            gateway::STREAM_CUT,
            "request={} route={} elapsed={:?} first_event={:?} reason={reason:?}",
            self.id,
            self.route,
            self.arrived_at.elapsed(),
            self.timing.first_event_after()
        );
    }

    /// Returns a tracker for the answer's stream to own; this one counts as finished.
    pub fn hand_over(&mut self) -> Self {
        self.state
            .status
            .open_requests
            .fetch_add(1, Ordering::AcqRel);
        let taken = Self {
            state: Rc::clone(&self.state),
            connection: self.connection.take(),
            socket: self.socket.take(),
            arrived_at: self.arrived_at,
            id: self.id.clone(),
            route: self.route.clone(),
            pause_target: self.pause_target,
            timing: self.timing,
            is_finished: false,
        };
        self.is_finished = true;
        taken
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.state
            .status
            .open_requests
            .fetch_sub(1, Ordering::AcqRel);
        if let Some(socket) = &self.socket {
            socket.end_request();
        }
        if !self.is_finished {
            self.state.status.metrics.abandoned.inc();
            log_event!(
                gateway::CALLER_LEFT,
                "request={} route={} elapsed={:?} first_event={:?}",
                self.id,
                self.route,
                self.arrived_at.elapsed(),
                self.timing.first_event_after()
            );
        }
    }
}

/// During a planned stop, tells each caller to use another connection.
pub fn close_while_stopping(state: &GatewayState, mut response: HttpResponse) -> HttpResponse {
    if state.status.is_stopping() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}
