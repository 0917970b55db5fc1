//! Opens TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::peer_stream::PeerStream;

/// Time limit for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// How long sent bytes may stay unacknowledged before the peer is considered dead. The operating system also counts the
/// time in which the peer has no room for more bytes, see [`PeerStream`].
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a connection may be idle before its peer is probed.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which the peer is considered dead.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Why a connection was not established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer refused it, or the network failed.
    #[error("connecting to {peer}: {cause}")]
    Failed {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// The peer did not answer in time.
    #[error("connecting to {peer}: no answer")]
    TimedOut {
        /// The peer.
        peer: SocketAddr,
    },
}

/// Connects to `peer`.
pub async fn connect(peer: SocketAddr) -> Result<PeerStream, ConnectError> {
    let failed = |cause| ConnectError::Failed { peer, cause };
    let connecting = TcpStream::connect(peer);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = connected
        .map_err(|_| ConnectError::TimedOut { peer })?
        .map_err(failed)?;
    set_options(&SockRef::from(&stream), Some(UNACKNOWLEDGED_TIMEOUT)).map_err(failed)?;
    Ok(PeerStream::to_server(stream))
}

/// Whether `peer` refuses connections, so that nothing listens there. A peer that does not answer may be cut
/// off by the network instead.
pub async fn is_refused(peer: SocketAddr) -> bool {
    match connect(peer).await {
        Ok(_) | Err(ConnectError::TimedOut { .. }) => false,
        Err(ConnectError::Failed { cause, .. }) => cause.kind() == io::ErrorKind::ConnectionRefused,
    }
}

/// Sets options that detect a dead peer and send small messages without delay.
pub fn set_options(
    socket: &SockRef<'_>,
    unacknowledged_timeout: Option<Duration>,
) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_IDLE_TIME)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(unacknowledged_timeout)?;
    socket.set_tcp_nodelay(true)
}
