//! Sockets of a gateway, bound before anything else starts.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use anyhow::Context;
use driftspring_settings::GatewayListen;
use ntex::server::create_tcp_listener;
use socket2::SockRef;

use crate::upstream::set_options;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 4096;

/// All sockets that a gateway listens on.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For readiness probes.
    pub health: TcpListener,
    /// For the collection of metrics.
    pub metrics: Option<TcpListener>,
    /// For datagrams of other gateways.
    pub peers: UdpSocket,
    /// For requests that other gateways forward; its port is the one for datagrams.
    pub forwarded: Option<TcpListener>,
}

impl Listeners {
    /// Binds every address of `listen`.
    pub fn bind(listen: &GatewayListen, takes_forwarded: bool) -> anyhow::Result<Self> {
        let callers = bind(listen.callers, "callers")?;
        // Accepted connections inherit these options, which detect callers that vanish without closing their
        // connections. They have no limit for unacknowledged bytes: Linux applies it to a caller that reads slowly too.
        set_options(&SockRef::from(&callers), None)
            .context("setting the options of the listener")?;
        let metrics = listen.metrics.map(|address| bind(address, "metrics"));
        Ok(Self {
            callers,
            health: bind(listen.health, "health")?,
            metrics: metrics.transpose()?,
            peers: bind_udp(listen.peers)?,
            forwarded: takes_forwarded
                .then(|| bind_nonblocking(listen.peers))
                .transpose()?,
        })
    }

    /// Addresses for callers and for readiness probes.
    pub fn addresses(&self) -> anyhow::Result<(SocketAddr, SocketAddr)> {
        Ok((self.callers.local_addr()?, self.health.local_addr()?))
    }
}

fn bind_udp(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)
        .with_context(|| format!("binding UDP {address} for other gateways"))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn bind_nonblocking(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = bind(address, "other gateways")?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn bind(address: SocketAddr, purpose: &str) -> anyhow::Result<TcpListener> {
    create_tcp_listener(address, BACKLOG)
        .with_context(|| format!("binding TCP {address} for {purpose}"))
}
