//! When daemons were hit by a fault that may cut their callers off.

use driftspring_history::{Event, Fault, FaultTarget, History};
use driftspring_types::DaemonId;

/// Whether, between the two times, a fault hit `daemon` (any daemon, where none is named) that no
/// daemon could hide from its callers: it was killed, frozen, or cut off.
pub fn unavoidable_cut(
    history: &History,
    daemon: Option<&DaemonId>,
    from_us: u64,
    until_us: u64,
) -> bool {
    history
        .iter()
        .filter(|(_, at_us, _)| (from_us..=until_us).contains(at_us))
        .any(|(_, _, event)| cuts_callers(event, daemon))
}

fn cuts_callers(event: &Event, daemon: Option<&DaemonId>) -> bool {
    let Event::FaultInjected { target, fault } = event else {
        return false;
    };
    let cuts = matches!(fault, Fault::Kill | Fault::Freeze | Fault::CutOff);
    match target {
        FaultTarget::Daemon(hit) => cuts && daemon.is_none_or(|daemon| daemon == hit),
        FaultTarget::Zone(_) => cuts,
        _ => false,
    }
}

/// Whether `daemon` was gone at `at_us`: killed, stopped or about to stop, and not started since.
pub fn is_gone(history: &History, daemon: &DaemonId, at_us: u64) -> bool {
    let mut gone = false;
    for (_, event_us, event) in history.iter() {
        if event_us > at_us {
            break;
        }
        match event {
            Event::DaemonStarted {
                daemon: started, ..
            } if started == daemon => gone = false,
            Event::DaemonStopping { daemon: stopped }
            | Event::DaemonStopped { daemon: stopped }
                if stopped == daemon =>
            {
                gone = true;
            }
            Event::FaultInjected {
                target: FaultTarget::Daemon(killed),
                fault: Fault::Kill,
            } if killed == daemon => gone = true,
            _ => {}
        }
    }
    gone
}
