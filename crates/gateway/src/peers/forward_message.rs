//! The datagrams with which a gateway that can't reach replicas finds others that can.

use musli::{Decode, Encode};

/// Asks whether the receiver takes requests for services that the sender can't reach.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireForwardQuery {
    /// Copied into the reply.
    pub nonce: u64,
    /// The services.
    pub services: Vec<String>,
}

/// The reply to [`WireForwardQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireForwardOffer {
    /// The nonce of the query.
    pub nonce: u64,
    /// Proves that a forwarded request comes from a gateway.
    pub token: u128,
    /// The TCP port for forwarded requests.
    pub port: u16,
    /// Number of further requests that the sender takes now.
    pub room: u32,
    /// Those of the services whose replicas have answered the sender lately.
    pub reachable: Vec<String>,
    /// Whether the sender keeps streams to the software version that began them.
    #[musli(default)]
    pub binds_streams: bool,
}
