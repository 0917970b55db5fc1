//! What one worker thread keeps: its connections to engines and legacy upstreams.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use driftspring_external::engine::{EngineClient, EngineTimeouts};
use driftspring_external::legacy::LegacyClient;
use driftspring_types::{Peer, Step, StepError};
use tokio::sync::OnceCell;

use super::deadline_body::DeadlineWatch;
use super::refusal::Refusal;
use crate::claims::ClaimClient;
use crate::state::DaemonState;

/// How long a cancel or status call to an engine may take.
const ENGINE_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of one worker thread.
pub struct WorkerState {
    /// What all threads share.
    pub daemon: Arc<DaemonState>,
    /// Ends overdue responses of this thread.
    pub deadlines: Rc<DeadlineWatch>,
    engines: OnceCell<EngineClient>,
    legacy: OnceCell<LegacyClient>,
    claims: OnceCell<ClaimClient>,
}

impl WorkerState {
    /// The state of a worker that has made no connection yet.
    pub fn new(daemon: Arc<DaemonState>) -> Self {
        Self {
            daemon,
            deadlines: Rc::default(),
            engines: OnceCell::new(),
            legacy: OnceCell::new(),
            claims: OnceCell::new(),
        }
    }

    /// The client of the engines; made at the first use, because only a running worker can.
    pub async fn engines(&self) -> Result<&EngineClient, Refusal> {
        let timeouts = EngineTimeouts {
            connect: self.daemon.settings.request.connect_timeout,
            call: ENGINE_CALL_TIMEOUT,
        };
        self.engines
            .get_or_try_init(|| EngineClient::new(timeouts))
            .await
            .map_err(|error| client_failed(Step::Dispatch, error))
    }

    /// The client of claim holders.
    pub async fn claims(&self) -> Result<&ClaimClient, Refusal> {
        self.claims
            .get_or_try_init(|| ClaimClient::new(&self.daemon))
            .await
            .map_err(|error| client_failed(Step::Claim, error))
    }

    /// The client of legacy upstreams.
    pub async fn legacy(&self) -> Result<&LegacyClient, Refusal> {
        let connect_timeout = self.daemon.settings.request.connect_timeout;
        self.legacy
            .get_or_try_init(|| LegacyClient::new(connect_timeout))
            .await
            .map_err(|error| client_failed(Step::PassThrough, error))
    }
}

fn client_failed(step: Step, error: anyhow::Error) -> Refusal {
    Refusal::no_engine(StepError::not_run(step, Peer::Local, error))
}
