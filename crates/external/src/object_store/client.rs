//! The calls to the object store.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use driftspring_types::{ObjectKey, Peer, RetrySafety, Revision, Step, StepError};
use ntex::http::{Method, StatusCode};
use ntex::time::sleep;
use serde::Deserialize;

use super::messages::{CurrentObject, ObjectList, StoredObject};
use super::watch::WatchStream;
use super::write::{ConditionalWrite, Refusal, SettledWrite, WriteOutcome};
use crate::service::{ServiceClient, ServiceTimeouts};

/// The pause between two attempts to settle a write.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// A client of the object store; belongs to the thread that made it.
#[derive(Clone)]
pub struct ObjectStore {
    service: ServiceClient,
}

#[derive(Deserialize)]
struct AcceptedAnswer {
    revision: Revision,
}

impl ObjectStore {
    /// A client with its own connections. Must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn new(address: SocketAddr, timeouts: ServiceTimeouts) -> anyhow::Result<Self> {
        let service = ServiceClient::new(address, Step::Store, Peer::ObjectStore, timeouts).await?;
        Ok(Self { service })
    }

    /// All objects whose key begins with `prefix`, as of one revision.
    ///
    /// # Errors
    ///
    /// The store did not answer in time, or not by the protocol.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, StepError> {
        let path = format!("/objects?prefix={prefix}");
        let request = self.service.request(Method::GET, &path);
        let answer = self.service.call(request, Vec::new()).await?;
        self.service.json(&answer)
    }

    /// One object; nothing where it is absent.
    ///
    /// # Errors
    ///
    /// The store did not answer in time, or not by the protocol.
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StepError> {
        let request = self.service.request(Method::GET, &object_path(key));
        let answer = self.service.call(request, Vec::new()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => self.service.json(&answer).map(Some),
        }
    }

    /// One attempt at a write.
    pub async fn write(&self, write: &ConditionalWrite) -> WriteOutcome {
        let path = format!("{}?expect={}", object_path(&write.key), write.expected);
        let request = self.service.request(Method::PUT, &path);
        let request = request.content_type("application/json");
        let body = write.stamped_value().to_string().into_bytes();
        match self.write_call(request, body).await {
            Ok(outcome) => outcome,
            Err(error) if error.safety == RetrySafety::NotRun => WriteOutcome::NotSent(error),
            Err(error) => WriteOutcome::Unknown(error),
        }
    }

    /// Repeats `write` until its fate is known or `deadline` has passed. A repeat is harmless: the write is
    /// conditional and carries its name, so it takes effect once at the most.
    pub async fn write_settled(&self, write: &ConditionalWrite, deadline: Instant) -> SettledWrite {
        let mut had_lost_answer = false;
        loop {
            let error = match self.write(write).await {
                WriteOutcome::Accepted(revision) => return SettledWrite::Accepted(revision),
                WriteOutcome::Conflict(current) => {
                    return self.settled_by(write.settle_refusal(current, had_lost_answer));
                }
                WriteOutcome::NotSent(error) => error,
                WriteOutcome::Unknown(error) => {
                    had_lost_answer = true;
                    error
                }
            };
            if Instant::now() + SETTLE_PAUSE >= deadline {
                return match had_lost_answer {
                    true => SettledWrite::Unknown(error),
                    false => SettledWrite::NotSent(error),
                };
            }
            sleep(SETTLE_PAUSE).await;
        }
    }

    /// Every change after `from`, held open.
    ///
    /// # Errors
    ///
    /// The store did not answer in time. [`WatchStream::is_compacted`] tells that it has no changes so old.
    pub async fn watch(&self, from: Revision) -> Result<WatchStream, StepError> {
        let path = format!("/watch?from={from}");
        let request = self.service.request(Method::GET, &path);
        let response = self.service.open(request, Vec::new()).await?;
        WatchStream::new(self.service.clone(), response)
    }

    async fn write_call(
        &self,
        request: ntex::client::ClientRequest,
        body: Vec<u8>,
    ) -> Result<WriteOutcome, StepError> {
        let answer = self.service.call(request, body).await?;
        if answer.status == StatusCode::CONFLICT {
            let current: CurrentObject = self.service.parse(&answer.body)?;
            return Ok(WriteOutcome::Conflict(current));
        }
        let accepted: AcceptedAnswer = self.service.json(&answer)?;
        Ok(WriteOutcome::Accepted(accepted.revision))
    }

    fn settled_by(&self, refusal: Refusal) -> SettledWrite {
        match refusal {
            Refusal::TookEffect(revision) => SettledWrite::Accepted(revision),
            Refusal::Definite(current) => SettledWrite::Refused(current),
            Refusal::Undecided => {
                let cause = "the object changed more than once since the answer was lost";
                SettledWrite::Unknown(self.service.may_have_run(cause))
            }
        }
    }
}

fn object_path(key: &ObjectKey) -> String {
    format!("/objects/{key}")
}
