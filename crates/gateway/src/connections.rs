//! Tracks the callers' connections: those that rest or send a head too slowly are ended, those without an open request are
//! closed during a planned stop, and the stop waits for those whose bytes the operating system has not taken yet.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use driftspring_clock::Instant;
use ntex::io::{Id, IoCallbacks, IoRef};

use crate::caller_limits::TimeLimits;
use crate::callers::socket::CallerSocket;

/// Number of bytes that wait in the connection's buffer for the operating system to take them.
pub fn unsent_bytes(connection: &IoRef) -> usize {
    match connection.is_closed() {
        true => 0,
        false => connection.with_write_dst_buf(|buffer| buffer.len()),
    }
}

/// What happens on one connection.
#[derive(Debug)]
struct Activity {
    open_requests: Cell<u32>,
    has_carried_request: Cell<bool>,
    /// When the first byte of a head arrived that is not whole yet.
    head_began_at: Cell<Option<Instant>>,
    /// Since when nothing has happened.
    rests_since: Cell<Instant>,
    /// Whether the last check found it over a limit.
    was_overdue: Cell<bool>,
    /// Whether its head was given up.
    is_head_ended: Cell<bool>,
}

impl Activity {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            open_requests: Cell::default(),
            has_carried_request: Cell::default(),
            head_began_at: Cell::default(),
            rests_since: Cell::new(Instant::now()),
            was_overdue: Cell::default(),
            is_head_ended: Cell::default(),
        })
    }

    fn record_request_start(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.has_carried_request.set(true);
        self.head_began_at.set(None);
        self.was_overdue.set(false);
        self.is_head_ended.set(false);
    }

    fn record_request_end(&self, connection: &IoRef) {
        self.open_requests
            .set(self.open_requests.get().saturating_sub(1));
        self.rests_since.set(Instant::now());
        self.record_bytes(connection);
    }

    /// Records the begin of a head if bytes of one have arrived. Those of a body come while its request is open.
    fn record_bytes(&self, connection: &IoRef) {
        let awaits_head = self.open_requests.get() == 0 && self.head_began_at.get().is_none();
        if awaits_head && connection.with_read_src_buf(|buffer| !buffer.is_empty()) {
            self.head_began_at.set(Some(Instant::now()));
            self.was_overdue.set(false);
        }
    }
}

/// Watches for bytes of heads: the library hands a request on only when its head is whole, and takes each whole header line
/// from the buffer at once.
struct HeadWatch(Rc<Activity>);

impl IoCallbacks for HeadWatch {
    fn before_processing(&self, connection: &IoRef) {
        self.0.record_bytes(connection);
    }

    fn after_processing(&self, _connection: &IoRef) {}
}

/// A request that is open on a connection, until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    connection: IoRef,
    activity: Rc<Activity>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.activity.record_request_end(&self.connection);
    }
}

#[derive(Debug)]
struct CallerConnection {
    connection: IoRef,
    activity: Rc<Activity>,
}

/// A limit that a connection is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Overdue {
    Head,
    Rest,
}

impl CallerConnection {
    fn is_idle(&self) -> bool {
        self.activity.open_requests.get() == 0
            && self.activity.head_began_at.get().is_none()
            && unsent_bytes(&self.connection) == 0
    }

    fn overdue(&self, limits: &TimeLimits, now: Instant) -> Option<Overdue> {
        let activity = &self.activity;
        if activity.open_requests.get() > 0 {
            return None;
        }
        if let Some(began_at) = activity.head_began_at.get() {
            let is_over = now.saturating_duration_since(began_at) >= limits.header;
            return (is_over && !activity.is_head_ended.get()).then_some(Overdue::Head);
        }
        if unsent_bytes(&self.connection) > 0 {
            activity.rests_since.set(now);
            return None;
        }
        let rested = now.saturating_duration_since(activity.rests_since.get());
        (rested >= limits.idle).then_some(Overdue::Rest)
    }

    /// Ends the connection, in order.
    fn end(&self, overdue: Overdue) {
        match overdue {
            // The library answers with 408, unless the head has become whole meanwhile: then it goes on.
            Overdue::Head => {
                self.activity.is_head_ended.set(true);
                self.connection.notify_timeout();
            }
            Overdue::Rest => CallerSocket::close_idle(&self.connection),
        }
    }
}

/// Number of connections that were ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndedConnections {
    /// Those whose head took too long.
    pub slow_heads: usize,
    /// Those that rested for too long.
    pub rested: usize,
}

/// The callers' connections.
#[derive(Debug, Default)]
pub struct CallerConnections {
    by_id: RefCell<HashMap<Id, CallerConnection>>,
}

impl CallerConnections {
    /// Records a new connection.
    pub fn record_open(&self, connection: &IoRef) {
        self.track(connection);
    }

    /// Records that a request has arrived on `connection`, until what is returned is dropped.
    pub fn record_request_start(&self, connection: &IoRef) -> OpenRequest {
        let known = self
            .by_id
            .borrow()
            .get(&connection.id())
            .filter(|tracked| tracked.connection == *connection)
            .map(|tracked| Rc::clone(&tracked.activity));
        let activity = known.unwrap_or_else(|| self.track(connection));
        activity.record_request_start();
        OpenRequest {
            connection: connection.clone(),
            activity,
        }
    }

    fn track(&self, connection: &IoRef) -> Rc<Activity> {
        let activity = Activity::new();
        connection.register_filter_callbacks(HeadWatch(Rc::clone(&activity)));
        // Bytes may have come before.
        activity.record_bytes(connection);
        let tracked = CallerConnection {
            connection: connection.clone(),
            activity: Rc::clone(&activity),
        };
        // Ids are used again once their connection has ended.
        self.by_id.borrow_mut().insert(connection.id(), tracked);
        activity
    }

    /// Number of connections with bytes that were not sent yet.
    pub fn count_unsent(&self) -> usize {
        let by_id = self.by_id.borrow();
        let unsent = by_id
            .values()
            .filter(|tracked| unsent_bytes(&tracked.connection) > 0);
        unsent.count()
    }

    /// Closes every connection that has carried a request and has none open, nor a head under way, nor unsent bytes; returns
    /// their number. The request of a new connection may be on its way.
    pub fn close_idle(&self) -> usize {
        self.close_where(|tracked| tracked.activity.has_carried_request.get())
    }

    /// The same for new connections as well. A request that is on its way is not read.
    pub fn close_idle_and_new(&self) -> usize {
        self.close_where(|_| true)
    }

    fn close_where(&self, is_to_close: impl Fn(&CallerConnection) -> bool) -> usize {
        let mut by_id = self.by_id.borrow_mut();
        let mut closed = 0;
        by_id.retain(|_, tracked| {
            let is_idle = tracked.is_idle() && is_to_close(tracked);
            if is_idle && !tracked.connection.is_closed() {
                CallerSocket::close_idle(&tracked.connection);
                closed += 1;
            }
            !is_idle
        });
        closed
    }

    /// Ends the connections that are over these limits now and were so at the last call. What a caller had sent by then has
    /// been read meanwhile, also where this process stood still.
    pub fn end_overdue(&self, limits: &TimeLimits, now: Instant) -> EndedConnections {
        let mut ended = EndedConnections::default();
        self.by_id.borrow_mut().retain(|_, tracked| {
            if tracked.connection.is_closed() {
                return false;
            }
            let overdue = tracked.overdue(limits, now);
            let was_overdue = tracked.activity.was_overdue.replace(overdue.is_some());
            let Some(overdue) = overdue.filter(|_| was_overdue) else {
                return true;
            };
            tracked.end(overdue);
            match overdue {
                Overdue::Head => ended.slow_heads += 1,
                Overdue::Rest => ended.rested += 1,
            }
            overdue == Overdue::Head
        });
        ended
    }
}
