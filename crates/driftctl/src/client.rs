//! Calls of daemons' operators' interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use driftspring_language::api::{
    IN_FORCE_PATH, InForceAnswer, STATEMENT_PATH, StatementAnswer, StatementRequest,
};
use driftspring_types::Revision;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientBuilder, ClientRequest};
use ntex::io::IoConfig;
use ntex::time::{Millis, timeout};
use serde::de::DeserializeOwned;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a daemon may take to answer; it pursues a lost write for five seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The daemon never got the call.
    #[error("{address} can't be reached: {cause}")]
    NotSent {
        /// The daemon's address.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// The daemon may have got the call and acted on it.
    #[error("no answer from {address}: {cause}")]
    AnswerLost {
        /// The daemon's address.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
}

/// A client of one or more daemons; belongs to the thread that made it.
pub struct OperatorClient {
    http: Client,
}

impl OperatorClient {
    /// A client. Must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn new() -> anyhow::Result<Self> {
        let io = IoConfig::new().set_connect_timeout(Millis::from(CONNECT_TIMEOUT));
        let http = ClientBuilder::new()
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .response_payload_timeout(Millis::from(ANSWER_TIMEOUT))
            .build(SharedCfg::new("driftctl").add(io).build())
            .await
            .context("building the HTTP client")?;
        Ok(Self { http })
    }

    /// Has the daemon at `address` execute a statement.
    ///
    /// # Errors
    ///
    /// The daemon was not reached, or its answer was lost.
    pub async fn execute(
        &self,
        address: SocketAddr,
        request: &StatementRequest,
    ) -> Result<StatementAnswer, CallError> {
        let call = self.http.post(format!("http://{address}{STATEMENT_PATH}"));
        let body = serde_json::to_vec(request).map_err(|error| CallError::NotSent {
            address,
            cause: error.to_string(),
        })?;
        self.call(address, call.content_type("application/json"), body)
            .await
    }

    /// Asks the daemon at `address` where the change of `key` at `revision` is in force.
    ///
    /// # Errors
    ///
    /// The daemon was not reached, or its answer was lost.
    pub async fn in_force(
        &self,
        address: SocketAddr,
        key: &str,
        revision: Revision,
    ) -> Result<InForceAnswer, CallError> {
        // Keys hold no sign that a query would need encoded: names are checked by the language.
        let url = format!("http://{address}{IN_FORCE_PATH}?key={key}&revision={revision}");
        self.call(address, self.http.get(url), Vec::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: ClientRequest,
        body: Vec<u8>,
    ) -> Result<T, CallError> {
        let lost = |cause: String| CallError::AnswerLost { address, cause };
        let response = match timeout(ANSWER_TIMEOUT, call.send_body(body)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(error_of(address, &error)),
            Err(()) => return Err(lost("no answer in time".to_owned())),
        };
        let status = response.status();
        let body = response
            .body()
            .await
            .map_err(|error| lost(error.to_string()))?;
        serde_json::from_slice(&body).map_err(|_| {
            let text = String::from_utf8_lossy(&body);
            lost(format!("HTTP status {status}: {}", text.trim()))
        })
    }
}

fn error_of(address: SocketAddr, error: &ClientError) -> CallError {
    let cause = error.to_string();
    match error {
        // The client also reports this where the daemon closed before answering.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            CallError::AnswerLost { address, cause }
        }
        ClientError::Connect(_) | ClientError::Url(_) => CallError::NotSent { address, cause },
        _ => CallError::AnswerLost { address, cause },
    }
}
