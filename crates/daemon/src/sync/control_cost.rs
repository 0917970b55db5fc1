//! Counts what internal calls cost, for the control budget.

use driftspring_telemetry::metrics::ControlSubsystem;
use ntex::http::body::{BodySize, MessageBody};
use ntex::web::HttpResponse;

use crate::state::DaemonState;

/// Answers an internal call of another daemon; counts its time and the bytes of both bodies.
pub fn answer_counted(
    state: &DaemonState,
    subsystem: ControlSubsystem,
    body: &[u8],
    answer: impl FnOnce(&DaemonState, &[u8]) -> HttpResponse,
) -> HttpResponse {
    let control = &state.metrics.control;
    let _timer = control.time(subsystem);
    control.count_received(subsystem, body.len());
    let response = answer(state, body);
    if let BodySize::Sized(bytes) = response.body().size() {
        control.bytes_sent.add(subsystem, bytes);
    }
    response
}
