//! Why a stream was late: what was known of its replica when it was sent.

use std::time::Duration;

/// Units in which durations are logged, with their length in seconds; those that end in another's name come first.
const UNITS: [(&str, f64); 4] = [("ns", 1e-9), ("µs", 1e-6), ("ms", 1e-3), ("s", 1.0)];

/// Fields of the line that tells where a request was sent, and what they mean.
const FIELDS: [(&str, &str); 5] = [
    ("reading", "other prompts to prefill for"),
    ("streams", "running streams:"),
    (
        "prefill_share",
        "share of the last second spent prefilling:",
    ),
    ("interference_ms", "cost of interference in ms:"),
    ("home_replica", "home of its prompt:"),
];

/// The longest pause of a stream and the target that it exceeds, if it does; `field` gives the fields of the line of its
/// end.
pub(crate) fn late_pause<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Option<String> {
    let (pause_text, target_text) = (field("longest_pause")?, field("pause_target")?);
    let target_text = target_text.strip_prefix("Some(")?.strip_suffix(')')?;
    let (pause, target) = (duration(pause_text)?, duration(target_text)?);
    (pause > target)
        .then(|| format!("its longest pause, {pause_text}, exceeds the target of {target_text}"))
}

/// What was known of the replica when the request was sent; `field` gives the fields of that line.
pub(crate) fn known_of_replica<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Option<String> {
    let replica = field("replica")?;
    let known: Vec<String> = FIELDS
        .iter()
        .filter_map(|(name, meaning)| Some(format!("{meaning} {}", field(name)?)))
        .collect();
    Some(format!(
        "when it was sent to {replica}: {}",
        known.join(", ")
    ))
}

/// A duration as it is logged, such as `1.5ms`.
fn duration(text: &str) -> Option<Duration> {
    let parse = |(unit, seconds): &(&str, f64)| {
        let number: f64 = text.strip_suffix(unit)?.parse().ok()?;
        Duration::try_from_secs_f64(number * seconds).ok()
    };
    UNITS.iter().find_map(parse)
}
