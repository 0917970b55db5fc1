//! The platform's store of kept KV cache.

use std::net::SocketAddr;

use driftspring_prefix::BlockHash;
use driftspring_types::{Peer, Step, StepError};
use ntex::http::{Method, StatusCode};

use crate::engine::KvPrefix;
use crate::service::{ServiceClient, ServiceTimeouts};

/// A client of the KV store; belongs to the thread that made it.
#[derive(Clone)]
pub struct KvStore {
    service: ServiceClient,
}

impl KvStore {
    /// A client with its own connections. Must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn new(address: SocketAddr, timeouts: ServiceTimeouts) -> anyhow::Result<Self> {
        let service = ServiceClient::new(address, Step::KeptCache, Peer::KvStore, timeouts).await?;
        Ok(Self { service })
    }

    /// Keeps the blocks of the prefix that ends in `last_block`.
    ///
    /// # Errors
    ///
    /// The store did not take it.
    pub async fn put(&self, last_block: BlockHash, prefix: &KvPrefix) -> Result<(), StepError> {
        let request = self.service.request(Method::PUT, &kept_path(last_block));
        let request = request.content_type("application/json");
        let body = serde_json::to_vec(prefix);
        let body = body.map_err(|error| self.service.may_have_run(&error.to_string()))?;
        let answer = self.service.call(request, body).await?;
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(self
                .service
                .may_have_run(&format!("HTTP status {}", answer.status))),
        }
    }

    /// The kept prefix that ends in `last_block`; nothing where there is none.
    ///
    /// # Errors
    ///
    /// The store did not answer in time, or not by the protocol.
    pub async fn get(&self, last_block: BlockHash) -> Result<Option<KvPrefix>, StepError> {
        let request = self.service.request(Method::GET, &kept_path(last_block));
        let answer = self.service.call(request, Vec::new()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => self.service.json(&answer).map(Some),
        }
    }

    /// Forgets the kept prefix that ends in `last_block`.
    ///
    /// # Errors
    ///
    /// The store did not answer in time.
    pub async fn delete(&self, last_block: BlockHash) -> Result<(), StepError> {
        let request = self.service.request(Method::DELETE, &kept_path(last_block));
        self.service.call(request, Vec::new()).await?;
        Ok(())
    }
}

fn kept_path(last_block: BlockHash) -> String {
    format!("/kept/{}", last_block.0)
}
