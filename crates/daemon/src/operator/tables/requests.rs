//! The table of the newest answers.

use driftspring_language::Row;
use driftspring_telemetry::metrics::{MetricLabel, OutcomeLabel};

use crate::state::{DaemonState, RecentAnswer};

/// The rows of `requests`.
pub fn rows(state: &DaemonState) -> Vec<Row> {
    let answers = state.recent_answers.all();
    answers.iter().map(|answer| row(answer)).collect()
}

fn row(answer: &RecentAnswer) -> Row {
    let route = &answer.route;
    let last_engine = answer.last_engine.as_ref().map(|engine| engine.as_str());
    let age_ms = answer.ended_at.elapsed().as_millis();
    vec![
        answer.request.to_string().into(),
        route.name.as_str().into(),
        route.tenant.as_str().into(),
        route.model.as_str().into(),
        answer.weights_version.0.into(),
        answer.engine.as_str().into(),
        last_engine.into(),
        answer.prompt_tokens.into(),
        answer.cached_tokens.into(),
        answer.tokens.into(),
        OutcomeLabel::of(&answer.outcome).text().into(),
        u64::try_from(age_ms).unwrap_or(u64::MAX).into(),
    ]
}
