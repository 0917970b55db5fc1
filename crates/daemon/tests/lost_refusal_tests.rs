//! Refusals of requests whose bodies the daemon has not read.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use driftspring_engine_model::token_text;
use support::daemon::{KEY, MODEL, TestDaemon};
use support::engines::Engines;
use support::strict::StrictCaller;
use support::wait_until;

/// Sizes of bodies, in bytes.
const SIZES: [usize; 5] = [1_000, 18_000, 300_000, 1_000_000, 4_000_000];

/// The largest body at the daemon that takes small ones only, in bytes.
const MAX_BODY_BYTES: usize = 400;

/// How long a body may take at the daemon that doesn't wait for it.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// How a body is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sending {
    /// With the head; the answer is read afterwards.
    Whole,
    /// The second half once the refusal has arrived.
    Halves,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Refused {
    /// A path that does not exist.
    UnknownPath,
    /// An unknown key where a body is not expected.
    ModelsKey,
    /// A method that a path does not have.
    WrongMethod,
    /// An announced length beyond the limit.
    TooLarge,
    /// Chunks beyond the limit.
    TooLargeInChunks,
    /// A body that is not sent in time.
    TooSlow,
    /// An unknown key; refused once the body was read.
    UnknownKey,
    /// A header at fault; refused once the body was read.
    BadHeader,
    /// A model without a route; refused once the body was read.
    UnknownModel,
}

impl Refused {
    const ALL: [Self; 9] = [
        Self::UnknownPath,
        Self::ModelsKey,
        Self::WrongMethod,
        Self::TooLarge,
        Self::TooLargeInChunks,
        Self::TooSlow,
        Self::UnknownKey,
        Self::BadHeader,
        Self::UnknownModel,
    ];

    fn status(self) -> u16 {
        match self {
            Self::UnknownPath | Self::UnknownModel => 404,
            Self::ModelsKey | Self::UnknownKey => 401,
            Self::WrongMethod => 405,
            Self::TooLarge | Self::TooLargeInChunks => 413,
            Self::TooSlow => 408,
            Self::BadHeader => 400,
        }
    }

    /// Ways of sending that end in this refusal.
    fn sendings(self) -> &'static [Sending] {
        match self {
            Self::TooSlow => &[Sending::Halves],
            Self::UnknownKey | Self::BadHeader | Self::UnknownModel => &[Sending::Whole],
            _ => &[Sending::Whole, Sending::Halves],
        }
    }

    /// Head and body.
    fn request(self, size: usize, is_kept: bool) -> (Vec<u8>, Vec<u8>) {
        let (line, key, header, model) = match self {
            Self::UnknownPath => ("POST /v1/embeddings", KEY, "", MODEL),
            Self::ModelsKey => ("GET /v1/models", "unknown", "", MODEL),
            Self::WrongMethod => ("PUT /v1/completions", KEY, "", MODEL),
            Self::UnknownKey => ("POST /v1/completions", "unknown", "", MODEL),
            Self::BadHeader => ("POST /v1/completions", KEY, "x-priority: high\r\n", MODEL),
            Self::UnknownModel => ("POST /v1/completions", KEY, "", "unheard-of"),
            _ => ("POST /v1/completions", KEY, "", MODEL),
        };
        let connection = if is_kept { "keep-alive" } else { "close" };
        let body = completion(size, model);
        let (framing, body) = match self {
            Self::TooLargeInChunks => ("transfer-encoding: chunked".to_owned(), chunks(&body)),
            _ => (format!("content-length: {}", body.len()), body),
        };
        let head = format!(
            "{line} HTTP/1.1\r\nhost: d\r\nauthorization: Bearer {key}\r\n\
             connection: {connection}\r\n{header}{framing}\r\n\r\n"
        );
        (head.into_bytes(), body)
    }
}

/// The body of a completion, of `size` bytes.
fn completion(size: usize, model: &str) -> Vec<u8> {
    let start = format!(r#"{{"model": "{model}", "max_tokens": 1, "prompt": ""#);
    let end = r#""}"#;
    let prompt = "x".repeat(size - start.len() - end.len());
    format!("{start}{prompt}{end}").into_bytes()
}

fn chunks(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(16_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Sends the request, reads its refusal, and uses the connection again where the daemon keeps it, else reads its end.
fn refuse(
    caller: &mut StrictCaller,
    (mut bytes, body): (Vec<u8>, Vec<u8>),
    sending: Sending,
    status: u16,
) -> Result<(), String> {
    let half = bytes.len() + body.len() / 2;
    bytes.extend_from_slice(&body);
    match sending {
        Sending::Whole => caller.send(&bytes)?,
        Sending::Halves => {
            caller.send(&bytes[..half])?;
            caller.wait_for_answer()?;
            caller.send(&bytes[half..])?;
        }
    }
    let answer = caller.read_answer()?;
    if answer.status != status {
        return Err(format!("{} instead of {status}", answer.status));
    }
    if answer.closes {
        return caller.read_end();
    }
    let next = format!("GET /v1/models HTTP/1.1\r\nhost: d\r\nauthorization: Bearer {KEY}\r\n\r\n");
    caller.send(next.as_bytes())?;
    match caller.read_answer()?.status {
        200 => Ok(()),
        status => Err(format!("the next request: {status}")),
    }
}

fn assert_none_failed(failed: &[String], counts: &BTreeMap<Refused, (usize, usize)>) {
    assert!(
        failed.is_empty(),
        "{} failed; failed and sent by kind: {counts:?}\n{}",
        failed.len(),
        failed.join("\n")
    );
}

// Guards against connections that are closed while bytes of the caller are unread or still arrive: they are reset, and
// the caller loses a refusal that it has not read.
#[test]
fn a_refusal_before_the_body_was_read_is_not_lost_to_a_reset() {
    let usual = TestDaemon::start(&[], |_| ());
    let small = TestDaemon::start(&[], |settings| {
        settings.request.max_body_bytes = MAX_BODY_BYTES;
    });
    let impatient = TestDaemon::start(&[], |settings| {
        settings.request.read_timeout = READ_TIMEOUT;
    });
    let mut failed = Vec::new();
    let mut counts = BTreeMap::<Refused, (usize, usize)>::new();
    for refused in Refused::ALL {
        let daemon = match refused {
            Refused::TooLarge | Refused::TooLargeInChunks => &small,
            Refused::TooSlow => &impatient,
            _ => &usual,
        };
        for size in SIZES {
            for &sending in refused.sendings() {
                for is_kept in [true, false] {
                    let mut caller = StrictCaller::open(daemon.running.addresses().callers);
                    let request = refused.request(size, is_kept);
                    let result = refuse(&mut caller, request, sending, refused.status());
                    let count = counts.entry(refused).or_default();
                    count.1 += 1;
                    if let Err(error) = result {
                        count.0 += 1;
                        failed.push(format!(
                            "{refused:?} {size} {sending:?} kept={is_kept}: {error}"
                        ));
                    }
                }
            }
        }
    }
    assert_none_failed(&failed, &counts);
}

// Guards against refusals of a planned stop that are lost to a reset, on connections that were open before it.
#[test]
fn a_refusal_in_a_planned_stop_of_a_daemon_is_not_lost_to_a_reset() {
    let engines = Engines::start_slow(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let address = daemon.running.addresses().callers;
    // An open stream keeps the daemon from ending before the refusals.
    let mut open = daemon.caller().begin_stream(&[], "prompt", 150);
    open.read_tokens(1);
    let callers = connect_all(address);
    let state = Arc::clone(&daemon.running.state);
    let stop = std::thread::spawn(move || daemon.running.stop());
    wait_until("the stop has begun", || state.is_stopping());
    let sent = callers
        .into_iter()
        .map(|(refused, size, sending, mut caller)| {
            let thread = std::thread::spawn(move || {
                // The same request as with a model, which is refused before its route is looked for.
                let status = match refused {
                    Refused::UnknownModel => 503,
                    refused => refused.status(),
                };
                refuse(&mut caller, refused.request(size, true), sending, status)
            });
            (refused, size, sending, thread)
        });
    let sent: Vec<_> = sent.collect();
    let mut failed = Vec::new();
    let mut counts = BTreeMap::<Refused, (usize, usize)>::new();
    for (refused, size, sending, thread) in sent {
        let count = counts.entry(refused).or_default();
        count.1 += 1;
        if let Err(error) = thread.join().expect("a caller") {
            count.0 += 1;
            failed.push(format!("{refused:?} {size} {sending:?}: {error}"));
        }
    }
    let streamed = open.finish().events();
    stop.join().expect("no panic").expect("a planned stop");
    assert_none_failed(&failed, &counts);
    let expected: Vec<_> = (0..150).map(|at| token_text(b"prompt", at)).collect();
    assert_eq!(streamed.tokens, expected);
}

fn connect_all(address: SocketAddr) -> Vec<(Refused, usize, Sending, StrictCaller)> {
    let kinds = [Refused::UnknownPath, Refused::UnknownModel];
    let mut callers = Vec::new();
    for refused in kinds {
        for size in SIZES {
            for &sending in refused.sendings() {
                callers.push((refused, size, sending, StrictCaller::open(address)));
            }
        }
    }
    callers
}
