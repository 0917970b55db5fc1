//! Ports for listeners that are told where to listen, and that no other socket takes meanwhile.
//!
//! A port from the range that the operating system gives out may be taken by any socket between its choice and its use, such
//! as by a connection of another test. So these ports are of the range below, at an address of the process.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first of these ports; those below are of well-known services.
const FIRST: u16 = 10_240;

/// The first port that the operating system gives out, if it does not tell.
const DEFAULT_FIRST_GIVEN_OUT: u16 = 32_768;

/// The last number of the loopback address at which ports are tried. Nothing listens there: a process that is started meanwhile
/// holds copies of all sockets of this one until it runs its program, and so keeps a tried port in use.
const TRIAL: u8 = 254;

/// The loopback address with this last number that belongs to this process alone, so that no process beside it takes a port
/// of a listener that is down or has not been opened yet.
pub fn own_ip(last: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, last)
}

/// Returns an address of [`own_ip`] whose port no socket uses for UDP or TCP at all addresses of the machine. No two calls of
/// this process return the same one, until all have been returned.
///
/// # Errors
///
/// None is free.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(first_given_out().saturating_sub(FIRST).max(1));
    for _ in 0..count {
        let offset = TAKEN.fetch_add(1, Ordering::Relaxed) % count;
        let port = FIRST + u16::try_from(offset)?;
        let trial = SocketAddr::from((own_ip(TRIAL), port));
        if UdpSocket::bind(trial).is_ok() && TcpListener::bind(trial).is_ok() {
            return Ok((own_ip(1), port).into());
        }
    }
    anyhow::bail!("no port is free for both")
}

/// The first port that the operating system gives out to sockets that name none (Linux: `ip_local_port_range`).
pub fn first_given_out() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first = range.ok().and_then(|text| {
        let first = text.split_whitespace().next()?;
        first.parse().ok()
    });
    first.unwrap_or(DEFAULT_FIRST_GIVEN_OUT)
}
