//! `driftctl explain REQUEST-ID`: from log lines on standard input to what became of a request, and why.

use std::io::BufRead;

use serde::Deserialize;

use crate::late_stream::{known_of_replica, late_pause};

/// Lines told of what went on around the request, at the most.
const MAX_SURROUNDINGS: usize = 12;

/// Events that tell how a request ended: refused, answered, left by its caller, cut.
const ENDS: [&str; 4] = [
    "REQUEST_ENDED",
    "CALLER_REFUSED",
    "CALLER_LEFT",
    "STREAM_CUT",
];

/// Events of the process that may be the cause of what befell a request.
const SURROUNDINGS: [&str; 32] = [
    "GATEWAY_STARTED",
    "GATEWAY_STOPPING",
    "GATEWAY_STOPPED",
    "CONFIGURATION_TAKEN",
    "STORE_LOST",
    "STORE_REGAINED",
    "CURRENCY_LOST",
    "SOURCE_CHANGED",
    "REPLICA_GONE",
    "REPLICA_SUSPECT",
    "REPLICA_ENDED",
    "REPLICA_LIMIT_CHANGED",
    "REPLICA_PASSED_OVER",
    "REPLICA_SAID_LEAVING",
    "REPLICA_ASKED_FOR_REST",
    "REPLICA_BRITTLE",
    "PATH_LOST",
    "PATH_REGAINED",
    "REPLICAS_RESERVED",
    "SERVICE_OVERLOADED",
    "SERVICE_OVERLOAD_ENDED",
    "REPLICA_SLOW",
    "REPLICA_SPEED_NORMAL",
    "REQUEST_STRUCK",
    "REQUEST_QUARANTINED",
    "REQUEST_TRIED",
    "REQUEST_CLEARED",
    "REQUEST_RELEASED",
    "WEIGHTS_WANTED",
    "ORDER_LEASE_LOST",
    "ENTRY_REJECTED",
    "LOG_LINES_DROPPED",
];

/// What a gateway writes first; a start without a stop before it tells that the process was killed.
const START: &str = "GATEWAY_STARTED";

/// What a gateway writes when a planned stop begins.
const STOP: &str = "GATEWAY_STOPPING";

/// One log line of a gateway.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    time: String,
    name: Option<String>,
    message: String,
    /// The word before the JSON object: the machine, where the collector of the lines wrote it there.
    #[serde(skip)]
    source: String,
}

impl LogLine {
    fn is(&self, name: &str) -> bool {
        self.name.as_deref() == Some(name)
    }
}

/// What the log lines tell of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The story, line by line.
    pub lines: Vec<String>,
    /// Whether the lines tell how the request ended.
    pub is_complete: bool,
}

/// Reads log lines and picks those that concern the request `id`. Lines that are no log lines are passed
/// over; a prefix before the JSON object, such as a machine's name, is allowed.
///
/// # Errors
///
/// The lines can't be read.
pub fn explain(id: &str, input: impl BufRead) -> std::io::Result<Explanation> {
    let mut own: Vec<LogLine> = Vec::new();
    let mut around: Vec<LogLine> = Vec::new();
    for line in input.lines() {
        let Some(line) = parse(&line?) else {
            continue;
        };
        if names_request(&line.message, id) {
            own.push(line);
        } else if line
            .name
            .as_deref()
            .is_some_and(|name| SURROUNDINGS.contains(&name))
        {
            around.push(line);
        }
    }
    Ok(tell(id, &own, around))
}

fn parse(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let mut parsed: LogLine = serde_json::from_str(&line[start..]).ok()?;
    let source = line[..start].split_whitespace().last();
    parsed.source = source.unwrap_or("").to_owned();
    Some(parsed)
}

fn names_request(message: &str, id: &str) -> bool {
    let mut words = message.split(' ');
    words.any(|word| word.strip_prefix("request=") == Some(id))
}

fn tell(id: &str, own: &[LogLine], around: Vec<LogLine>) -> Explanation {
    let Some(first) = own.first() else {
        return Explanation {
            lines: vec![format!(
                "no line names request {id}: it reached another gateway, or lines are missing"
            )],
            is_complete: false,
        };
    };
    let mut lines: Vec<String> = own.iter().map(render).collect();
    let end = own.iter().rev().find(|line| is_end(line));
    let without_end = without_end(own, &around);
    let last = end.map_or(&own[own.len() - 1].time, |end| &end.time);
    let relevant = |line: &LogLine| {
        let is_own = line.source == first.source;
        let names_replica = own.iter().any(|own| shares_replica(own, line));
        let is_of_one = ["replica", "fingerprint"]
            .iter()
            .any(|name| field(&line.message, name).is_some());
        let is_general = !is_of_one;
        let is_in_time = line.time <= *last;
        let names_request = own.iter().any(|own| shares_fingerprint(own, line));
        let is_about_it = names_replica || names_request;
        is_own && is_in_time && (is_about_it || (is_general && line.time >= first.time))
    };
    let mut surroundings: Vec<LogLine> = around.into_iter().filter(|line| relevant(line)).collect();
    let skipped = surroundings.len().saturating_sub(MAX_SURROUNDINGS);
    surroundings.drain(..skipped);
    if !surroundings.is_empty() {
        lines.push("around it:".to_owned());
        lines.extend(surroundings.iter().map(render));
    }
    lines.extend(authorization(own));
    lines.extend(end.and_then(|end| late_stream(own, end)));
    lines.push(match end {
        Some(end) => format!("so: {}{}", conclusion(end), hedge(own)),
        None => format!("so: {without_end}"),
    });
    Explanation {
        lines,
        is_complete: end.is_some(),
    }
}

/// Which configuration allowed the request, and whether it was decided anew after a wait, if the lines tell it.
fn authorization(own: &[LogLine]) -> Option<String> {
    let sent = own.iter().find(|line| line.is("REQUEST_SENT"))?;
    let version = field(&sent.message, "configuration")?;
    let route = field(&sent.message, "route")?;
    let tenant = match field(&sent.message, "tenant")?.trim_matches('"') {
        "" => "no tenant".to_owned(),
        tenant => format!("tenant {tenant}"),
    };
    let changed = own
        .iter()
        .find(|line| line.is("CONFIGURATION_CHANGED_MEANWHILE"));
    let before = changed.and_then(|line| field(&line.message, "before"));
    let since = before.map_or_else(String::new, |before| {
        format!("; configuration {before} was in force when it began to wait")
    });
    Some(format!(
        "allowed by configuration {version}: route {route}, {tenant}{since}"
    ))
}

/// Why a stream whose pauses exceed their target was late, if the lines tell it.
fn late_stream(own: &[LogLine], end: &LogLine) -> Option<String> {
    let pause = late_pause(|name| field(&end.message, name))?;
    let sent = own.iter().rev().find(|line| line.is("REQUEST_SENT"));
    let known = sent.and_then(|sent| known_of_replica(|name| field(&sent.message, name)));
    Some(match known {
        Some(known) => format!("{pause}; {known}"),
        None => pause,
    })
}

/// Why no line tells how a request ended: its gateway was started anew, or lines are missing.
fn without_end(own: &[LogLine], around: &[LogLine]) -> String {
    let last = &own[own.len() - 1];
    let later = |line: &&LogLine| line.source == last.source && line.time >= last.time;
    let Some(start) = around.iter().filter(later).find(|line| line.is(START)) else {
        return "no line tells how it ended: lines are missing, or it was open when they end"
            .to_owned();
    };
    let is_planned = around
        .iter()
        .filter(later)
        .any(|line| line.is(STOP) && line.time <= start.time);
    match is_planned {
        true => format!(
            "it was open when its gateway was told to stop, and not ended when it was started anew at {}",
            start.time
        ),
        false => format!(
            "its gateway was killed: it was started anew at {} without a planned stop before",
            start.time
        ),
    }
}

fn is_end(line: &LogLine) -> bool {
    line.name
        .as_deref()
        .is_some_and(|name| ENDS.contains(&name))
}

fn render(line: &LogLine) -> String {
    let name = line.name.as_deref().unwrap_or("");
    format!("{} {name} {}", line.time, line.message)
}

/// Whether both lines name the same replica.
fn shares_replica(own: &LogLine, line: &LogLine) -> bool {
    let replica = field(&line.message, "replica");
    replica.is_some() && replica == field(&own.message, "replica")
}

/// Whether both lines name the same request by what stays the same from try to try.
fn shares_fingerprint(own: &LogLine, line: &LogLine) -> bool {
    let of = |line: &LogLine| {
        let value = field(&line.message, "fingerprint")?;
        Some(value.trim_matches('"').to_owned())
    };
    let fingerprint = of(own);
    fingerprint.is_some() && fingerprint == of(line)
}

/// The value of `name=value` in a message.
fn field<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    let mut words = message.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Which of two replicas answered first, if the request was sent to a second one because the first took long.
fn hedge(own: &[LogLine]) -> String {
    if !own.iter().any(|line| line.is("REQUEST_HEDGED")) {
        return String::new();
    }
    let ended = own.iter().find(|line| line.is("HEDGE_ENDED"));
    let Some(ended) = ended else {
        return "; it was sent to a second replica as well, and neither answer was final"
            .to_owned();
    };
    let first_to_answer = field(&ended.message, "replica").unwrap_or("");
    let other = field(&ended.message, "other").unwrap_or("");
    match field(&ended.message, "hedge_won") {
        Some("true") => format!(
            "; {other} took longer than nearly all answers do, so it was sent to {first_to_answer} too, which answered first"
        ),
        _ => format!(
            "; {first_to_answer} took longer than nearly all answers do, so it was sent to {other} too, but answered first"
        ),
    }
}

/// What the last line means.
fn conclusion(end: &LogLine) -> String {
    let reason = field(&end.message, "reason").unwrap_or("");
    let status = field(&end.message, "status").unwrap_or("");
    match (end.name.as_deref().unwrap_or(""), reason) {
        ("REQUEST_ENDED", _) if status.starts_with('5') => {
            format!("the replica itself answered {status}, which was passed on")
        }
        ("REQUEST_ENDED", _) => "a replica's whole answer was passed on".to_owned(),
        ("CALLER_LEFT", _) => {
            "the caller closed its connection before the answer was whole".to_owned()
        }
        ("STREAM_CUT", _) => {
            "the stream broke and could not go on, so the caller's connection was closed".to_owned()
        }
        (_, "NotInformed") => {
            "refused as not run: no configuration was known to be current; look for STORE_LOST"
                .to_owned()
        }
        (_, "NoReplica") => "refused as not run: no replica could serve; see the detail".to_owned(),
        (_, "NotRun") => {
            "refused as not run: the replicas that were asked did not take it".to_owned()
        }
        (_, "OverShare") => {
            let (_, share) = end.message.split_once("detail=").unwrap_or_default();
            format!(
                "refused as not run: its service was overloaded and its tenant above its share ({}); look for SERVICE_OVERLOADED",
                share.trim_matches('"').replace('\\', "")
            )
        }
        (_, "Paused") => {
            "refused as not run: every replica that could serve had asked for a pause; look for REPLICA_PASSED_OVER"
                .to_owned()
        }
        (_, "Quarantined") => {
            "refused as not run: replicas that ran the same request have ended; look for REQUEST_QUARANTINED with its fingerprint"
                .to_owned()
        }
        (_, "Stopping") => "refused as not run: the gateway was about to end".to_owned(),
        (_, "Unknown") => "a replica may have run it, and no usable answer came".to_owned(),
        (_, "TimedOut") => "its time was over before an answer came".to_owned(),
        (_, other) => format!("refused: {other}"),
    }
}
