//! The client of legacy upstreams: requests pass unchanged.

use std::time::Duration;

use anyhow::Context;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::{HeaderMap, Method};
use ntex::io::IoConfig;
use ntex::time::Millis;
use ntex::util::Bytes;

/// Connections open at once; high, because admission limits requests before they come here.
const MAX_CONNECTIONS: usize = 1 << 20;

/// Headers that belong to one connection and not to the request (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A failed call to a legacy upstream.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LegacyError {
    /// No connection was opened, so the upstream never saw the request.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The request may have run.
    #[error("connection broke: {0}")]
    Broken(String),
    /// Nothing came within this time; the request may have run.
    #[error("nothing came for {0:?}")]
    TimedOut(Duration),
}

/// The client of all legacy upstreams of one thread.
#[derive(Clone)]
pub struct LegacyClient {
    http: Client,
}

impl LegacyClient {
    /// A client with its own connections. Must be called on an ntex thread.
    pub async fn new(connect_timeout: Duration) -> anyhow::Result<Self> {
        let io = IoConfig::new().set_connect_timeout(Millis::from(connect_timeout));
        let config = SharedCfg::new("legacy-client").add(io).build();
        let http = Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS))
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .build(config)
            .await
            .context("building the client of legacy upstreams")?;
        Ok(Self { http })
    }

    /// Sends a request on as it came. A new connection tells a request that was never
    /// seen from one that may have run.
    pub async fn forward(
        &self,
        address: &str,
        method: Method,
        path_and_query: &str,
        headers: &HeaderMap,
        body: Bytes,
        patience: Duration,
    ) -> Result<ClientResponse, LegacyError> {
        let url = format!("http://{address}{path_and_query}");
        let mut request = self.http.request(method, url).force_close();
        for (name, value) in headers {
            if belongs_to_request(name.as_str()) {
                request = request.header(name.clone(), value.clone());
            }
        }
        match ntex::time::timeout(patience, request.no_decompress().send_body(body)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(failure(error)),
            Err(()) => Err(LegacyError::TimedOut(patience)),
        }
    }
}

/// Whether the header `name` passes from one connection to the next.
pub fn belongs_to_request(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name)
}

fn failure(error: ClientError) -> LegacyError {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            LegacyError::Broken("closed before answering".to_owned())
        }
        ClientError::Connect(error) => LegacyError::NotConnected(error.to_string()),
        ClientError::Url(error) => LegacyError::NotConnected(error.to_string()),
        other => LegacyError::Broken(other.to_string()),
    }
}
