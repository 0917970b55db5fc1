//! A connection that carries one request at a time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use tokio::task::AbortHandle;

use super::call::{CallAnswer, CallError, MAX_ANSWER_BYTES, NO_ROOM, build_call};
use super::call_bytes::CallBytes;
use super::connector::{ConnectError, connect};
use super::endless::EndlessError;
use super::framing::{Element, Messages};
use super::meter::Meter;
use super::metered::MeteredStream;
use super::peer_stream::RequestCount;
use super::whole_body::WholeBody;
use crate::protocol::Call;

/// How long an idle connection is kept if the peer does not specify it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Limit of the time for which an idle connection is kept, whatever the peer says.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// How much earlier than the peer an idle connection is closed, to allow for differences of the clocks and for
/// the network latency.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// No byte of the request was sent.
    #[error("not sent to {peer}: {cause}")]
    NotSent {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The request was sent at least in part, and may have run.
    #[error("no answer from {peer}: {cause}")]
    NoAnswer {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The request was sent and may have run. What came is no answer, since an element has no end.
    #[error("no answer from {peer}: {error}")]
    Endless {
        /// The peer.
        peer: SocketAddr,
        /// What had no end.
        error: EndlessError,
    },
}

/// A connection. Dropping it closes it at once, whatever is still open on it.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    meter: Rc<Meter>,
    requests: RequestCount,
    /// The peer.
    pub peer: SocketAddr,
    usable_until: Instant,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    /// Whether the peer has reported on it that it is the expected incarnation of a replica.
    pub is_confirmed: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The peer can't be reached.
    pub async fn open(peer: SocketAddr) -> Result<Self, ConnectError> {
        let stream = connect(peer).await?;
        let requests = stream.requests();
        let meter = Rc::new(Meter::new(peer, Messages::Answers));
        let stream = MeteredStream::new(stream, Rc::clone(&meter));
        let handshake = http1::handshake(stream).await;
        let (sender, driver) = handshake.map_err(|error| ConnectError::Failed {
            peer,
            cause: std::io::Error::other(error),
        })?;
        // The driver ends with the connection. Its error is reported by the request on the connection.
        let driver = tokio::task::spawn_local(async move {
            let _ = driver.await;
        });
        let now = Instant::now();
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            meter,
            requests,
            peer,
            usable_until: now + DEFAULT_IDLE_TIMEOUT,
            is_reused: false,
            is_confirmed: false,
        })
    }

    /// What has arrived of the answer.
    pub fn meter(&self) -> &Rc<Meter> {
        &self.meter
    }

    /// Whether it can carry a request now.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.sender.is_ready() && now < self.usable_until
    }

    /// Whether it will never carry a request again.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.sender.is_closed() || now >= self.usable_until
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The error says whether the request was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let peer = self.peer;
        self.meter.begin_answer(request.method() == Method::HEAD);
        self.requests.begin();
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            let was_sent = error.take_message().is_none();
            let cause = describe_with_causes(error.error());
            match self.meter.endless() {
                _ if !was_sent => SendFailure::NotSent { peer, cause },
                Some(error) => SendFailure::Endless { peer, error },
                None => SendFailure::NoAnswer { peer, cause },
            }
        })
    }

    /// Makes a call and waits for its complete answer. After an error the connection can't be used any more.
    ///
    /// # Errors
    ///
    /// The error says whether the call may have been executed.
    pub async fn call(&mut self, call: &Call) -> Result<CallAnswer, CallError> {
        let request = build_call(self.peer, call);
        let request = request.map_err(|error| CallError::NotSent(error.to_string()))?;
        let response = self.send(request).await;
        let response = response.map_err(|error| CallError::NoAnswer(error.to_string()))?;
        let (head, mut body) = response.into_parts();
        self.note_keep_alive(&head.headers);
        let lost = |error: &hyper::Error| CallError::NoAnswer(self.describe(error));
        let mut whole = WholeBody::new(MAX_ANSWER_BYTES);
        let mut held = CallBytes::default();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|error| lost(&error))?.into_data() {
                if !held.add(data.len()) {
                    return Err(CallError::NoAnswer(NO_ROOM.to_owned()));
                }
                let pushed = whole.push(data);
                pushed.map_err(|length| {
                    let endless = self.meter.end_body(Element::Body, length);
                    CallError::NoAnswer(endless.to_string())
                })?;
            }
        }
        let ready = self.sender.ready().await;
        ready.map_err(|error| CallError::NoAnswer(self.describe(&error)))?;
        Ok(CallAnswer {
            status: head.status,
            headers: head.headers,
            body: whole.into_bytes(),
        })
    }

    /// The text of an error of the HTTP library, or of the element without end that has caused it.
    pub(super) fn describe(&self, error: &hyper::Error) -> String {
        match self.meter.endless() {
            Some(endless) => endless.to_string(),
            None => describe_with_causes(error),
        }
    }

    /// Applies the `Keep-Alive` header of an answer, which says how long the peer keeps the connection.
    pub fn note_keep_alive(&mut self, headers: &HeaderMap) {
        let idle = match peer_idle_time(headers) {
            Some(time) => time.min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        self.is_reused = true;
        self.usable_until = Instant::now() + idle;
    }
}

/// The text of an error and of all its causes.
pub fn describe_with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// The time in `Keep-Alive: timeout=SECONDS`.
fn peer_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| {
        let (name, number) = part.trim().split_once('=')?;
        let is_timeout = name.eq_ignore_ascii_case("timeout");
        is_timeout.then(|| number.trim().parse().ok())?
    });
    seconds.map(Duration::from_secs)
}
