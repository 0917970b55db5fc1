//! Confirms that a connection leads to the incarnation of a replica whose software version is known.
//!
//! A replica may have restarted under its id with other software, while its entry is out of date. A connection does not
//! outlive an incarnation, so what its peer reports on it holds for the whole of it.

use std::time::Duration;

use crate::protocol::SoftwareVersion;
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::upstream::Connection;

/// What the peer of a connection has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// It is the expected incarnation, with this version.
    Confirmed(Option<SoftwareVersion>),
    /// It is another incarnation, or does not say when it started.
    OtherIncarnation,
    /// It did not report; the connection can't be used any more.
    Failed,
}

/// Confirms the software version of the peer within `timeout`; the report that it asks for occupies no slot of the replica.
/// Only replicas that state their start times may keep their ids; the id of any other one is checked by the replica itself
/// with each request.
pub async fn confirm_software(
    state: &GatewayState,
    replica: &Replica,
    connection: &mut Connection,
    timeout: Duration,
) -> Confirmation {
    let born = replica.incarnation.born;
    if born.is_none() || connection.is_confirmed {
        return Confirmation::Confirmed(replica.software());
    }
    let call = state.platform.report();
    let report = tokio::time::timeout(timeout, connection.call(&call)).await;
    let body = match report {
        Ok(Ok(answer)) => answer.body,
        Ok(Err(error)) => {
            log::debug!("no report of replica {}: {error}", replica.id());
            return Confirmation::Failed;
        }
        Err(_) => {
            log::debug!("no report of replica {} in {timeout:?}", replica.id());
            return Confirmation::Failed;
        }
    };
    let reported = state.platform.read_report(&body);
    connection.is_confirmed = reported.is_ok_and(|report| report.born == born);
    match connection.is_confirmed {
        true => Confirmation::Confirmed(replica.software()),
        false => Confirmation::OtherIncarnation,
    }
}
