//! The call to the machine list.

use std::net::SocketAddr;

use driftspring_types::{Peer, Step, StepError};
use ntex::http::Method;

use super::messages::{Machine, MachineListBody};
use crate::service::{ServiceClient, ServiceTimeouts};

/// A client of the machine list; belongs to the thread that made it.
#[derive(Clone)]
pub struct MachineListClient {
    service: ServiceClient,
}

impl MachineListClient {
    /// A client with its own connections. Must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn new(address: SocketAddr, timeouts: ServiceTimeouts) -> anyhow::Result<Self> {
        let peer = Peer::MachineList;
        let service = ServiceClient::new(address, Step::Machines, peer, timeouts).await?;
        Ok(Self { service })
    }

    /// All machines, live and leaving. The list lags.
    ///
    /// # Errors
    ///
    /// The service did not answer in time, or not by the protocol.
    pub async fn machines(&self) -> Result<Vec<Machine>, StepError> {
        let request = self.service.request(Method::GET, "/machines");
        let answer = self.service.call(request, Vec::new()).await?;
        let body: MachineListBody = self.service.json(&answer)?;
        Ok(body.machines)
    }
}
