//! The socket for datagrams between gateways, which names their deployment and their sender.
//!
//! An address may have belonged to a gateway of another deployment, which is still asked there. Its versions and its
//! configuration would be taken for those of this deployment. So datagrams end with digests of the names of the deployment and
//! of the sender, where the settings name a deployment. One that names another deployment counts as foreign, unless this one's
//! store lists its sender. Gateways of an earlier build append nothing, and read what stands before.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::directory::name_digest;

/// What the digests begin with.
const MARK: [u8; 4] = *b"dep1";

/// The size of the digests with their mark, in bytes.
const SUFFIX_BYTES: usize = MARK.len() + 2 * size_of::<u64>();

/// The end of each datagram of a gateway that names its deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suffix {
    /// The digest of the deployment's name.
    deployment: u64,
    /// The digest of the sender's name.
    sender: u64,
}

impl Suffix {
    fn to_bytes(self) -> [u8; SUFFIX_BYTES] {
        let mut bytes = [0; SUFFIX_BYTES];
        let (mark, digests) = bytes.split_at_mut(MARK.len());
        let (deployment, sender) = digests.split_at_mut(size_of::<u64>());
        mark.copy_from_slice(&MARK);
        deployment.copy_from_slice(&self.deployment.to_be_bytes());
        sender.copy_from_slice(&self.sender.to_be_bytes());
        bytes
    }

    /// Splits a datagram into its content and its suffix, if it has one.
    fn split(datagram: &[u8]) -> (&[u8], Option<Self>) {
        let split = || {
            let (rest, sender) = datagram.split_last_chunk()?;
            let (rest, deployment) = rest.split_last_chunk()?;
            let content = rest.strip_suffix(&MARK)?;
            let suffix = Self {
                deployment: u64::from_be_bytes(*deployment),
                sender: u64::from_be_bytes(*sender),
            };
            Some((content, suffix))
        };
        match split() {
            Some((content, suffix)) => (content, Some(suffix)),
            None => (datagram, None),
        }
    }
}

/// A datagram that was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// Its content, without the digests.
    pub content: &'a [u8],
    /// Its sender's address.
    pub from: SocketAddr,
    /// The digest of its sender's name, if that names another deployment than the receiver.
    pub foreign_sender: Option<u64>,
}

/// A socket for datagrams between gateways of a deployment.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    own: Option<Suffix>,
}

impl PeerSocket {
    /// The socket of the gateway `name` of the deployment with this name, if it has one.
    pub fn new(socket: UdpSocket, deployment: Option<&str>, name: &str) -> Self {
        let own = deployment.map(|deployment| Suffix {
            deployment: name_digest(deployment),
            sender: name_digest(name),
        });
        Self { socket, own }
    }

    /// Sends a datagram with this content alone, for the reply to a query: that was answered since it named this deployment.
    ///
    /// # Errors
    ///
    /// As of the socket.
    pub async fn send_reply(&self, content: &[u8], to: SocketAddr) -> io::Result<()> {
        self.socket.send_to(content, to).await?;
        Ok(())
    }

    /// Sends a datagram with this content and the names.
    ///
    /// # Errors
    ///
    /// As of the socket.
    pub async fn send_to(&self, content: &[u8], to: SocketAddr) -> io::Result<()> {
        match &self.own {
            Some(suffix) => {
                let datagram = [content, &suffix.to_bytes()].concat();
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
    pub async fn receive<'a>(&self, buffer: &'a mut [u8]) -> io::Result<Datagram<'a>> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        let (content, suffix) = Suffix::split(&buffer[..length]);
        let foreign = suffix
            .zip(self.own)
            .filter(|(suffix, own)| suffix.deployment != own.deployment);
        Ok(Datagram {
            content,
            from,
            foreign_sender: foreign.map(|(suffix, _)| suffix.sender),
        })
    }
}
