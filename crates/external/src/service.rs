//! What the clients of the platform's services share: one address, time limits, JSON answers.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use driftspring_types::{Peer, Step, StepError};
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientBuilder, ClientRequest, ClientResponse};
use ntex::http::{Method, StatusCode};
use ntex::io::IoConfig;
use ntex::time::{Millis, timeout};
use serde::de::DeserializeOwned;

/// The largest answer that is read, in bytes: a list of 41,000 objects takes about 12 MB.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How long the steps of a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTimeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// From the call to the end of the answer's headers, and again from there to the end of its body.
    pub call: Duration,
}

impl Default for ServiceTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
        }
    }
}

/// A client of one service; belongs to the thread that made it.
#[derive(Clone)]
pub(crate) struct ServiceClient {
    http: Client,
    address: SocketAddr,
    step: Step,
    peer: Peer,
    timeouts: ServiceTimeouts,
}

/// An answer of any status, with its body.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: ntex::util::Bytes,
}

impl ServiceClient {
    /// A client with its own connections. Must be made on an ntex thread.
    pub(crate) async fn new(
        address: SocketAddr,
        step: Step,
        peer: Peer,
        timeouts: ServiceTimeouts,
    ) -> anyhow::Result<Self> {
        let io = IoConfig::new().set_connect_timeout(Millis::from(timeouts.connect));
        let config = SharedCfg::new("service-client").add(io).build();
        let http = ClientBuilder::new()
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .response_payload_timeout(Millis::from(timeouts.call))
            .build(config)
            .await
            .with_context(|| format!("building the client of the {peer}"))?;
        Ok(Self {
            http,
            address,
            step,
            peer,
            timeouts,
        })
    }

    /// A request for `path`, to be passed to [`Self::call`] or [`Self::open`].
    pub(crate) fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.address);
        self.http.request(method, url)
    }

    /// Sends `request` and returns the response once its headers have come.
    pub(crate) async fn open(
        &self,
        request: ClientRequest,
        body: Vec<u8>,
    ) -> Result<ClientResponse, StepError> {
        match timeout(self.timeouts.call, request.send_body(body)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(self.error_of(&error)),
            Err(()) => Err(self.may_have_run("no answer in time")),
        }
    }

    /// Sends `request` and reads the whole answer.
    pub(crate) async fn call(
        &self,
        request: ClientRequest,
        body: Vec<u8>,
    ) -> Result<Answer, StepError> {
        let response = self.open(request, body).await?;
        let status = response.status();
        let body = response.body().await;
        let body = body.map_err(|error| self.may_have_run(&error.to_string()))?;
        Ok(Answer { status, body })
    }

    /// Reads the JSON of an answer of status 200.
    pub(crate) fn json<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, StepError> {
        if !answer.status.is_success() {
            return Err(self.may_have_run(&format!("HTTP status {}", answer.status)));
        }
        self.parse(&answer.body)
    }

    /// Reads JSON that the service sent.
    pub(crate) fn parse<T: DeserializeOwned>(&self, json: &[u8]) -> Result<T, StepError> {
        serde_json::from_slice(json)
            .map_err(|error| self.may_have_run(&format!("malformed answer: {error}")))
    }

    /// An error of a call that may have had its effect.
    pub(crate) fn may_have_run(&self, cause: &str) -> StepError {
        StepError::may_have_run(self.step, self.peer.clone(), anyhow::anyhow!("{cause}"))
    }

    fn error_of(&self, error: &ClientError) -> StepError {
        let cause = anyhow::anyhow!("{error}");
        match error {
            // The client also reports this where the service closed before answering.
            ClientError::Connect(ConnectError::Disconnected(None)) => {
                self.may_have_run("closed before answering")
            }
            ClientError::Connect(_) | ClientError::Url(_) => {
                StepError::not_run(self.step, self.peer.clone(), cause)
            }
            _ => StepError::may_have_run(self.step, self.peer.clone(), cause),
        }
    }
}
