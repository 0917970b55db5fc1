//! The sockets of a daemon, bound before anything else starts.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use anyhow::Context;
use driftspring_settings::ListenSettings;
use ntex::server::create_tcp_listener;

use crate::state::BoundAddresses;

/// Connections that may wait to be accepted; after a herd restart every caller comes at once.
const BACKLOG: i32 = 4096;

/// How often a free port is sought that both UDP and TCP can take.
const MAX_PORT_ATTEMPTS: usize = 32;

/// Every socket that a daemon listens on.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For other daemons.
    pub peers: PeerSockets,
}

/// The sockets for other daemons; both have the same port number.
pub struct PeerSockets {
    /// For internal calls.
    pub tcp: TcpListener,
    /// For gossip.
    pub udp: UdpSocket,
}

impl Listeners {
    /// Binds every address of `listen`.
    pub fn bind(listen: &ListenSettings) -> anyhow::Result<Self> {
        Ok(Self {
            callers: bind_tcp(listen.callers, "callers")?,
            operators: bind_tcp(listen.operators, "operators")?,
            peers: PeerSockets::bind(listen.peers)?,
        })
    }

    /// The addresses bound.
    pub fn addresses(&self) -> anyhow::Result<BoundAddresses> {
        Ok(BoundAddresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.tcp.local_addr()?,
        })
    }
}

impl PeerSockets {
    /// Binds TCP and UDP on one port; with port 0 it looks for one that is free for both.
    fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let mut attempts_left = if address.port() == 0 {
            MAX_PORT_ATTEMPTS
        } else {
            1
        };
        loop {
            let tcp = bind_tcp(address, "peers")?;
            attempts_left -= 1;
            match UdpSocket::bind(tcp.local_addr()?) {
                Ok(udp) => return Ok(Self { tcp, udp }),
                Err(error) if attempts_left == 0 => {
                    return Err(error).with_context(|| format!("binding UDP {address} for peers"));
                }
                Err(_) => {}
            }
        }
    }
}

fn bind_tcp(address: SocketAddr, purpose: &str) -> anyhow::Result<TcpListener> {
    create_tcp_listener(address, BACKLOG)
        .with_context(|| format!("binding TCP {address} for {purpose}"))
}
