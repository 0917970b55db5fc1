//! What the state machine asks of its driver.

use std::net::SocketAddr;

use driftspring_types::{DaemonId, EngineRecord, Incarnation, MemberRecord};

use crate::message::Datagram;

/// What the driver has to do, or may want to log.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The peer address.
        to: SocketAddr,
        /// What to send.
        datagram: Datagram,
    },
    /// A peer's replication notice arrived.
    PeerNotice {
        /// The peer.
        from: DaemonId,
        /// The peer's address, for copies over HTTP.
        address: SocketAddr,
        /// The notice as the peer's driver gave it.
        notice: Vec<u8>,
    },
    /// A member is new or has another life or state.
    MemberChanged(MemberRecord),
    /// An engine is new or has another life, weights version or health.
    EngineChanged(EngineRecord),
    /// Others knew a later life under the own name; the own record now comes after it.
    IncarnationRaised(Incarnation),
}
