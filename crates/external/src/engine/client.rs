//! The calls to engines.

use std::time::Duration;

use anyhow::Context;
use driftspring_prefix::BlockHash;
use driftspring_types::RequestId;
use ntex::SharedCfg;
use ntex::client::{Client, ClientBuilder, ClientRequest, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::io::IoConfig;
use ntex::time::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::answer::AnswerStream;
use super::cache_events::CacheEventStream;
use super::error::EngineError;
use super::generate::GenerateCall;
use super::messages::{EngineStatus, FencedBody, KvPrefix, OrderAnswer, OrderRequest};

/// Connections open at once per client. The client's own queue would hide an engine's load from
/// the router, so that this is higher than any admitted number of requests; 0 would not mean "no
/// limit", since the client's pool then never wakes a request that waits for a connection.
const MAX_CONNECTIONS: usize = 1 << 20;

/// The largest answer other than a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How long the steps of a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineTimeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// The whole of a short call: status, cancel, order, export, import.
    pub call: Duration,
}

/// The client of all engines; belongs to the thread that made it, where clones share connections.
#[derive(Clone)]
pub struct EngineClient {
    /// Reuses connections.
    http: Client,
    /// Opens a connection for each request and closes it afterwards.
    unpooled: Client,
    timeouts: EngineTimeouts,
}

impl EngineClient {
    /// A client with its own connections. Must be called on an ntex thread.
    pub async fn new(timeouts: EngineTimeouts) -> anyhow::Result<Self> {
        Ok(Self {
            http: http_client(timeouts.connect).await?,
            unpooled: http_client(timeouts.connect).await?,
            timeouts,
        })
    }

    /// Opens a request; `patience` bounds the time until the answer's headers have come.
    pub async fn generate(
        &self,
        call: &GenerateCall<'_>,
        patience: Duration,
    ) -> Result<AnswerStream, EngineError> {
        let url = url(call.address, call.endpoint.path());
        let request = if call.fresh_connection {
            self.unpooled.post(url).force_close()
        } else {
            self.http.post(url)
        };
        let sending = call.with_headers(request).send_body(call.body.clone());
        let response = within(patience, sending).await?;
        let response = successful(response, self.timeouts.call).await?;
        Ok(AnswerStream::new(response))
    }

    /// Takes up the answer to `request_id` from token `from` on.
    pub async fn resume(
        &self,
        address: &str,
        request_id: RequestId,
        from: u64,
        patience: Duration,
    ) -> Result<AnswerStream, EngineError> {
        let path = format!("/v1/requests/{request_id}/stream?from={from}");
        let response = within(patience, self.http.get(url(address, &path)).send()).await?;
        let response = successful(response, self.timeouts.call).await?;
        Ok(AnswerStream::new(response))
    }

    /// Stops the work on `request_id`.
    pub async fn cancel(&self, address: &str, request_id: RequestId) -> Result<(), EngineError> {
        let path = format!("/v1/requests/{request_id}/cancel");
        self.call(self.http.post(url(address, &path))).await?;
        Ok(())
    }

    /// What the engine says of itself.
    pub async fn status(&self, address: &str) -> Result<EngineStatus, EngineError> {
        let response = self.call(self.http.get(url(address, "/status"))).await?;
        self.read_json(response).await
    }

    /// The engine's cache events from number `from` on, held open; the headers must come within
    /// the time of a short call.
    pub async fn cache_events(
        &self,
        address: &str,
        from: u64,
    ) -> Result<CacheEventStream, EngineError> {
        let path = format!("/events?from={from}");
        let response = self.call(self.http.get(url(address, &path))).await?;
        Ok(CacheEventStream::new(response))
    }

    /// Gives a fenced order.
    pub async fn order(
        &self,
        address: &str,
        order: &OrderRequest,
    ) -> Result<OrderAnswer, EngineError> {
        let request = self.http.post(url(address, "/orders"));
        let response = within(self.timeouts.call, request.send_json(order)).await?;
        if response.status() == StatusCode::CONFLICT {
            let fenced: FencedBody = self.read_json(response).await?;
            return Ok(OrderAnswer::Fenced {
                highest_token: fenced.highest_token,
            });
        }
        successful(response, self.timeouts.call).await?;
        Ok(OrderAnswer::Accepted)
    }

    /// The blocks of the prefix that ends in `last_block`.
    pub async fn export_cache(
        &self,
        address: &str,
        last_block: BlockHash,
    ) -> Result<KvPrefix, EngineError> {
        let path = format!("/kv/export?hash={}", last_block.0);
        let response = self.call(self.http.get(url(address, &path))).await?;
        self.read_json(response).await
    }

    /// Gives the engine the blocks of a prefix.
    pub async fn import_cache(&self, address: &str, prefix: &KvPrefix) -> Result<(), EngineError> {
        self.post_json(address, "/kv/import", prefix).await
    }

    /// Asks the engine to finish what is open, refuse the rest and exit.
    pub async fn leave(&self, address: &str) -> Result<(), EngineError> {
        self.call(self.http.post(url(address, "/leave"))).await?;
        Ok(())
    }

    async fn post_json(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), EngineError> {
        let request = self.http.post(url(address, path));
        let response = within(self.timeouts.call, request.send_json(body)).await?;
        successful(response, self.timeouts.call).await?;
        Ok(())
    }

    /// Makes a short call without a body.
    async fn call(&self, request: ClientRequest) -> Result<ClientResponse, EngineError> {
        let response = within(self.timeouts.call, request.send()).await?;
        successful(response, self.timeouts.call).await
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        response: ClientResponse,
    ) -> Result<T, EngineError> {
        let body = read_body(&response, self.timeouts.call).await?;
        serde_json::from_slice(&body).map_err(|error| EngineError::Malformed(error.to_string()))
    }
}

async fn http_client(connect_timeout: Duration) -> anyhow::Result<Client> {
    let io = IoConfig::new().set_connect_timeout(Millis::from(connect_timeout));
    let config = SharedCfg::new("engine-client").add(io).build();
    let connector = Connector::default().limit(MAX_CONNECTIONS);
    ClientBuilder::new()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .response_payload_limit(MAX_ANSWER_BYTES)
        .build(config)
        .await
        .context("building the engine client")
}

fn url(address: &str, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Awaits the headers of an answer for `patience` at the most.
async fn within(
    patience: Duration,
    sending: impl Future<Output = Result<ClientResponse, ntex::client::error::ClientError>>,
) -> Result<ClientResponse, EngineError> {
    match ntex::time::timeout(patience, sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(EngineError::from_client(error)),
        Err(()) => Err(EngineError::TimedOut(patience)),
    }
}

/// The response where its status is success; else the error that its body tells.
async fn successful(
    response: ClientResponse,
    patience: Duration,
) -> Result<ClientResponse, EngineError> {
    if response.status().is_success() {
        return Ok(response);
    }
    let body = read_body(&response, patience).await?;
    Err(EngineError::from_answer(response.status().as_u16(), &body))
}

async fn read_body(
    response: &ClientResponse,
    patience: Duration,
) -> Result<ntex::util::Bytes, EngineError> {
    response
        .body()
        .timeout(Millis::from(patience))
        .await
        .map_err(|error| EngineError::Broken(error.to_string()))
}
