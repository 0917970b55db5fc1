//! The socket for datagrams between gateways, which names their deployment.
//!
//! An address may have belonged to a gateway of another deployment, which is still asked there. Its versions and its
//! configuration would be taken for those of this deployment. So each datagram ends with a digest of the deployment's name, where
//! the settings have one, and those with another digest are dropped. Gateways of an earlier build append none, and read what
//! stands before it.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

/// What the digest begins with.
const MARK: [u8; 4] = *b"dep1";

/// The size of a digest with its mark, in bytes.
const SUFFIX_BYTES: usize = MARK.len() + size_of::<u64>();

/// The end of each datagram of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suffix([u8; SUFFIX_BYTES]);

impl Suffix {
    fn of(deployment: &str) -> Self {
        let mut suffix = [0; SUFFIX_BYTES];
        suffix[..MARK.len()].copy_from_slice(&MARK);
        suffix[MARK.len()..].copy_from_slice(&xxh3_64(deployment.as_bytes()).to_be_bytes());
        Self(suffix)
    }

    /// Splits a datagram into its content and its suffix, if it has one.
    fn split(datagram: &[u8]) -> (&[u8], Option<Self>) {
        match datagram.split_last_chunk::<SUFFIX_BYTES>() {
            Some((content, suffix)) if suffix.starts_with(&MARK) => (content, Some(Self(*suffix))),
            _ => (datagram, None),
        }
    }
}

/// A datagram that was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received<'a> {
    /// Of this deployment, or of one that is not named: its content.
    Content(&'a [u8]),
    /// Of another deployment.
    OtherDeployment,
}

/// A socket for datagrams between gateways of a deployment.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    own: Option<Suffix>,
}

impl PeerSocket {
    /// The socket of a gateway of the deployment with this name, if it has one.
    pub fn new(socket: UdpSocket, deployment: Option<&str>) -> Self {
        Self {
            socket,
            own: deployment.map(Suffix::of),
        }
    }

    /// Sends a datagram with this content.
    ///
    /// # Errors
    ///
    /// As of the socket.
    pub async fn send_to(&self, content: &[u8], to: SocketAddr) -> io::Result<()> {
        match &self.own {
            Some(Suffix(suffix)) => {
                let datagram = [content, suffix].concat();
                self.socket.send_to(&datagram, to).await?;
            }
            None => drop(self.socket.send_to(content, to).await?),
        }
        Ok(())
    }

    /// Receives a datagram into `buffer`.
    ///
    /// # Errors
    ///
    /// As of the socket.
    pub async fn receive<'a>(
        &self,
        buffer: &'a mut [u8],
    ) -> io::Result<(Received<'a>, SocketAddr)> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        let (content, suffix) = Suffix::split(&buffer[..length]);
        let received = match (self.own, suffix) {
            (Some(own), Some(other)) if own != other => Received::OtherDeployment,
            _ => Received::Content(content),
        };
        Ok((received, from))
    }
}
