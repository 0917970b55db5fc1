//! Small HTTP calls to stand-ins and to the daemons' operator interface.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow, ensure};
use ntex::SharedCfg;
use ntex::client::{Client, ClientBuilder, ClientResponse};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// How long a call may take.
const CALL_PATIENCE: Duration = Duration::from_secs(10);

/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP client for control calls; each call opens a new connection.
#[derive(Clone)]
pub struct HttpControl {
    client: Client,
}

impl HttpControl {
    /// A client; must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The client can't be built.
    pub async fn new() -> anyhow::Result<Self> {
        let client = ClientBuilder::new()
            .disable_timeout()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(SharedCfg::new("control"))
            .await
            .context("build the control client")?;
        Ok(Self { client })
    }

    /// The text of the answer to `GET path`.
    ///
    /// # Errors
    ///
    /// No answer in time, or one other than success.
    pub async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<String> {
        let request = self.client.get(url(address, path)).force_close();
        answer_text(path, request.send()).await
    }

    /// The lines of JSON in the answer to `GET path`.
    ///
    /// # Errors
    ///
    /// No answer in time, or an unreadable one.
    pub async fn get_lines<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> anyhow::Result<Vec<T>> {
        let text = self.get(address, path).await?;
        text.lines()
            .filter(|line| !line.trim().is_empty())
            .map(|line| serde_json::from_str(line).with_context(|| format!("{path}: {line}")))
            .collect()
    }

    /// The text of the answer to `POST path` with a JSON body.
    ///
    /// # Errors
    ///
    /// No answer in time, or one other than success.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> anyhow::Result<String> {
        let request = self.client.post(url(address, path)).force_close();
        answer_text(path, request.send_json(body)).await
    }

    /// The text of the answer to `PUT path` with a JSON body.
    ///
    /// # Errors
    ///
    /// No answer in time, or one other than success.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> anyhow::Result<String> {
        let request = self.client.put(url(address, path)).force_close();
        answer_text(path, request.send_json(body)).await
    }
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

async fn answer_text(
    path: &str,
    sending: impl Future<Output = Result<ClientResponse, ntex::client::error::ClientError>>,
) -> anyhow::Result<String> {
    let call = async {
        let response = sending.await.map_err(|error| anyhow!("{path}: {error}"))?;
        let body = response
            .body()
            .await
            .map_err(|error| anyhow!("{path}: {error}"))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let status = response.status();
        ensure!(status.is_success(), "{path}: status {status}: {text}");
        Ok(text)
    };
    ntex::time::timeout(CALL_PATIENCE, call)
        .await
        .unwrap_or_else(|()| Err(anyhow!("{path}: no answer within {CALL_PATIENCE:?}")))
}
