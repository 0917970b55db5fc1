//! Internal calls to other daemons about the configuration.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow};
use driftspring_replication::{Delta, PullRequest};
use driftspring_telemetry::metrics::{ControlMetrics, ControlSubsystem};
use driftspring_types::{DaemonId, Peer, Step, StepError};
use musli::mode::Binary;
use musli::{Decode, Encode};
use ntex::SharedCfg;
use ntex::client::{Client, ClientBuilder};
use ntex::io::IoConfig;
use ntex::time::{Millis, timeout};

use super::server::HoldsRequest;
use super::{HOLDS_PATH, PULL_PATH};
use crate::state::DaemonState;

/// How long opening a connection to another daemon may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a whole call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest answer that is read, in bytes: one chunk and one record of any size.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A client of all other daemons; belongs to the thread that made it.
#[derive(Clone)]
pub struct PeerClient {
    http: Client,
    control: ControlMetrics,
    subsystem: ControlSubsystem,
}

impl PeerClient {
    /// A client with its own connections, whose messages count as those of `subsystem`. Must be made on
    /// an ntex thread.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn new(state: &DaemonState, subsystem: ControlSubsystem) -> anyhow::Result<Self> {
        let io = IoConfig::new().set_connect_timeout(Millis::from(CONNECT_TIMEOUT));
        let http = ClientBuilder::new()
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(SharedCfg::new("peer-client").add(io).build())
            .await
            .context("building the client of other daemons")?;
        Ok(Self {
            http,
            control: state.metrics.control.clone(),
            subsystem,
        })
    }

    /// Asks `peer` for its records above a revision.
    ///
    /// # Errors
    ///
    /// The peer did not answer in time, or not by the protocol.
    pub async fn pull(
        &self,
        peer: &DaemonId,
        address: SocketAddr,
        request: PullRequest,
    ) -> Result<Delta, StepError> {
        self.call(peer, address, PULL_PATH, &request).await
    }

    /// Asks `peer` whether a change is in force there.
    ///
    /// # Errors
    ///
    /// The peer did not answer in time, or not by the protocol.
    pub async fn holds(
        &self,
        peer: &DaemonId,
        address: SocketAddr,
        request: &HoldsRequest,
    ) -> Result<bool, StepError> {
        self.call(peer, address, HOLDS_PATH, request).await
    }

    async fn call<Q, A>(
        &self,
        peer: &DaemonId,
        address: SocketAddr,
        path: &str,
        question: &Q,
    ) -> Result<A, StepError>
    where
        Q: Encode<Binary>,
        A: for<'de> Decode<'de, Binary, musli::alloc::Global>,
    {
        self.exchange(address, path, question, CALL_TIMEOUT)
            .await
            .map_err(|cause| {
                let peer = Peer::Daemon(peer.clone());
                StepError::may_have_run(Step::Synchronise, peer, cause)
            })
    }

    /// Sends `question` to `path` at `address` and reads the answer, all within `patience`.
    ///
    /// # Errors
    ///
    /// The peer did not answer in time, or not by the protocol; it may have acted on the question.
    pub(crate) async fn exchange<Q, A>(
        &self,
        address: SocketAddr,
        path: &str,
        question: &Q,
        patience: Duration,
    ) -> anyhow::Result<A>
    where
        Q: Encode<Binary>,
        A: for<'de> Decode<'de, Binary, musli::alloc::Global>,
    {
        timeout(patience, self.send(address, path, question))
            .await
            .unwrap_or_else(|()| Err(anyhow!("no answer within {patience:?}")))
    }

    async fn send<Q, A>(&self, address: SocketAddr, path: &str, question: &Q) -> anyhow::Result<A>
    where
        Q: Encode<Binary>,
        A: for<'de> Decode<'de, Binary, musli::alloc::Global>,
    {
        let body = musli::wire::to_vec(question).map_err(|error| anyhow!("{error}"))?;
        self.control.count_sent(self.subsystem, body.len());
        let request = self.http.post(format!("http://{address}{path}"));
        let response = request
            .send_body(body)
            .await
            .map_err(|error| anyhow!("{error}"))?;
        if !response.status().is_success() {
            return Err(anyhow!("HTTP status {}", response.status()));
        }
        let body = response.body().await.map_err(|error| anyhow!("{error}"))?;
        self.control.count_received(self.subsystem, body.len());
        musli::wire::from_slice(&body).map_err(|error| anyhow!("malformed answer: {error}"))
    }
}
