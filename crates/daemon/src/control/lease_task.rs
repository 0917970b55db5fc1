//! Keeps the control lease, where this daemon is a candidate for it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_control::lease::LeaseAnswer;
use driftspring_control::{
    LeaseHolder, LeaseMachine, LeaseRecord, LeaseSettings, LeaseStep, LeaseWrite,
};
use driftspring_external::ServiceTimeouts;
use driftspring_external::object_store::{
    ConditionalWrite, CurrentObject, ObjectStore, SettledWrite, WriteBody,
};
use driftspring_membership::rendezvous::{may_hold_duties, score};
use driftspring_telemetry::events::control;
use driftspring_telemetry::log_event;
use driftspring_types::{FencingToken, MemberRecord, ObjectKey, ObjectKind, Revision, StepError};
use ntex::time::sleep;
use serde_json::Value;

use crate::state::DaemonState;

/// The lease's name; also the duty's key for the choice of candidates.
const LEASE_NAME: &str = "control";
/// The longest wait between two looks at the members and at whether the daemon is stopping.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// How long the fate of one write is pursued; well below a term.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// How long a call to the store may take.
const STORE_TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_secs(1),
};

/// The lease as the tasks of one thread share it.
#[derive(Clone)]
pub struct ControlLease {
    state: Arc<DaemonState>,
    machine: Rc<RefCell<LeaseMachine>>,
}

impl ControlLease {
    /// A lease that is not held yet.
    pub fn new(state: &Arc<DaemonState>) -> Self {
        let own = LeaseHolder {
            daemon: state.settings.id.clone(),
            incarnation: state.incarnation,
        };
        let machine = LeaseMachine::new(own, LeaseSettings::default());
        Self {
            state: Arc::clone(state),
            machine: Rc::new(RefCell::new(machine)),
        }
    }

    /// The token under which this daemon may act now; to be asked right before each order.
    pub fn token(&self) -> Option<FencingToken> {
        let machine = self.machine.borrow();
        match self.state.settings.mechanisms.fencing {
            true => machine.token_at(self.now()),
            false => machine.last_token(),
        }
    }

    fn now(&self) -> Duration {
        self.state.started_at.elapsed()
    }
}

/// Acquires and renews the lease until the process ends; gives it back at a planned stop.
pub async fn run(state: Arc<DaemonState>, address: SocketAddr, lease: ControlLease) {
    let store = match ObjectStore::new(address, STORE_TIMEOUTS).await {
        Ok(store) => store,
        Err(error) => {
            log_event!(control::CONTROL_NOT_STARTED, "error={error:#}");
            return;
        }
    };
    let key = ObjectKey::new(ObjectKind::Leases, LEASE_NAME);
    let mut holder = Holder {
        state,
        store,
        lease,
        key,
        reported: None,
    };
    while !holder.state.is_terminated() {
        holder.step().await;
        holder.report();
    }
}

struct Holder {
    state: Arc<DaemonState>,
    store: ObjectStore,
    lease: ControlLease,
    key: ObjectKey,
    /// The token that was last logged as held.
    reported: Option<FencingToken>,
}

impl Holder {
    async fn step(&mut self) {
        let now = self.lease.now();
        let is_held = self.lease.machine.borrow().last_token().is_some();
        if self.state.is_stopping() {
            self.lease.machine.borrow_mut().give_back();
        } else if !is_held && !is_candidate(&self.state) {
            sleep(LOOK_INTERVAL).await;
            return;
        }
        let step = self.lease.machine.borrow_mut().next(now);
        match step {
            LeaseStep::Wait(until) => sleep(until.saturating_sub(now).min(LOOK_INTERVAL)).await,
            LeaseStep::Read => self.read().await,
            LeaseStep::Write(write) => self.write(&write).await,
        }
    }

    async fn read(&self) {
        let read = self.store.get(&self.key).await;
        let ended = self.lease.now();
        let mut machine = self.lease.machine.borrow_mut();
        match read {
            Ok(object) => {
                let object = object.and_then(|object| parse(object.revision, object.value));
                machine.on_read(ended, object);
            }
            Err(error) => {
                machine.on_read_failed(ended);
                report_unreachable(&error);
            }
        }
    }

    async fn write(&self, write: &LeaseWrite) {
        let Some(body) = body_of(&write.record) else {
            return;
        };
        let began = self.lease.now();
        let conditional = ConditionalWrite::new(self.key.clone(), write.expected, body);
        let deadline = Instant::now() + SETTLE_TIME;
        let answer = match self.store.write_settled(&conditional, deadline).await {
            SettledWrite::Accepted(revision) => LeaseAnswer::Accepted(revision),
            SettledWrite::Refused(CurrentObject { revision, value }) => {
                LeaseAnswer::Refused(parse(revision, value))
            }
            SettledWrite::NotSent(error) | SettledWrite::Unknown(error) => {
                report_unreachable(&error);
                LeaseAnswer::Unknown
            }
        };
        let ended = self.lease.now();
        let mut machine = self.lease.machine.borrow_mut();
        machine.on_write(write, began, ended, answer);
    }

    /// Logs an acquisition or a loss, once.
    fn report(&mut self) {
        let token = self.lease.machine.borrow().token_at(self.lease.now());
        if token == self.reported {
            return;
        }
        match token {
            Some(token) => log_event!(control::LEASE_ACQUIRED, "lease={LEASE_NAME} token={token}"),
            None => log_event!(control::LEASE_LOST, "lease={LEASE_NAME}"),
        }
        self.reported = token;
    }
}

/// Whether this daemon competes for the lease: the one with the highest score of its zone does, so that the
/// store bears few readers and a zone that is cut off does not take every candidate with it.
fn is_candidate(state: &DaemonState) -> bool {
    let members = state.members.load();
    let rank = |member: &MemberRecord| score(LEASE_NAME, &member.id);
    let best = members
        .iter()
        .filter(|member| member.zone == state.settings.zone && may_hold_duties(member))
        .max_by_key(|member| (rank(member), member.id.clone()));
    best.is_none_or(|best| best.id == state.settings.id)
}

fn parse(revision: Revision, value: Option<Value>) -> Option<(Revision, LeaseRecord)> {
    let record = serde_json::from_value(value?).ok()?;
    Some((revision, record))
}

fn body_of(record: &LeaseRecord) -> Option<WriteBody> {
    match serde_json::to_value(record) {
        Ok(Value::Object(fields)) => Some(WriteBody::Object(fields)),
        _ => None,
    }
}

fn report_unreachable(error: &StepError) {
    log_event!(
        control::LEASE_CALL_FAILED,
        "lease={LEASE_NAME} error={error}"
    );
}
