//! The gossip datagram and its encoding.
//!
//! The envelope is musli `wire`, which lets an older daemon skip fields that a newer one adds, so
//! that a rolling upgrade needs no flag day. The bulky lists inside are packed musli `storage`
//! items, one after the other, which take about half the bytes.

use std::fmt;

use musli::mode::Binary;
use musli::reader::SliceReader;
use musli::{Decode, Encode};

use crate::config::MAX_DATAGRAM_BYTES;
use crate::digest::DigestHalf;
use crate::rows::{CompactAddress, EngineRow, LoadReport, MemberChange, MemberRow, ZoneContact};
use crate::tag::{ClusterTag, MemberTag};

/// What a datagram asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum MessageKind {
    /// Asks the receiver to answer; also the carrier of most news.
    Ping {
        /// Returned in the answer.
        sequence: u32,
    },
    /// The answer to a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: u32,
        /// The member that answered, which differs from the sender where a helper passes it on.
        subject: MemberTag,
    },
    /// Asks the receiver to probe another member on the sender's behalf.
    PingRequest {
        /// Returned in the answer.
        sequence: u32,
        /// The peer address of the member to probe.
        target: CompactAddress,
    },
    /// News that ask for no answer.
    News,
    /// Asks for the records of every bucket whose digest differs from the receiver's.
    SyncRequest {
        /// Which half of each digest follows.
        half: DigestHalf,
        /// The digests of the member table's buckets, two bytes each.
        member_digests: Section,
        /// The digests of the engine table's buckets, two bytes each.
        engine_digests: Section,
    },
    /// The records of some buckets.
    SyncRows {
        /// Member buckets of which every record is in this datagram (`u32`).
        member_buckets: Section,
        /// Engine buckets of which every record is in this datagram (`u32`).
        engine_buckets: Section,
    },
}

/// A list of packed items.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
#[musli(transparent)]
pub struct Section(#[musli(bytes)] Vec<u8>);

impl Section {
    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Bytes of all items.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds `item` unless the section would exceed `limit` bytes; whether it was added.
    pub fn push<T: Encode<Binary>>(&mut self, item: &T, limit: usize) -> bool {
        let before = self.0.len();
        let encoded = musli::storage::to_writer(&mut self.0, item);
        if encoded.is_err() || self.0.len() > limit {
            self.0.truncate(before);
            return false;
        }
        true
    }

    /// Adds all items of `other`.
    pub fn append(&mut self, other: &Self) {
        self.0.extend_from_slice(&other.0);
    }

    /// Wraps bytes whose meaning is not this crate's.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// The packed bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The items; an error where one does not decode.
    pub fn items<T: for<'de> Decode<'de, Binary, musli::alloc::Global>>(
        &self,
    ) -> Result<Vec<T>, DecodeError> {
        let mut reader = SliceReader::new(&self.0);
        let mut items = Vec::new();
        while reader.remaining() > 0 {
            items.push(musli::storage::decode(&mut reader).map_err(DecodeError::new)?);
        }
        Ok(items)
    }
}

/// One gossip datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Datagram {
    /// What it asks or answers.
    pub kind: MessageKind,
    /// The life of the sender.
    pub sender: MemberTag,
    /// The digest of the sender's member table.
    pub members_digest: u32,
    /// The digest of the sender's engine table.
    pub engines_digest: u32,
    /// Whole member records ([`MemberRow`]).
    #[musli(default, skip_encoding_if = Section::is_empty)]
    pub member_rows: Section,
    /// New states of members ([`MemberChange`]).
    #[musli(default, skip_encoding_if = Section::is_empty)]
    pub member_changes: Section,
    /// Whole engine records ([`EngineRow`]).
    #[musli(default, skip_encoding_if = Section::is_empty)]
    pub engine_rows: Section,
    /// Newer loads ([`LoadReport`]).
    #[musli(default, skip_encoding_if = Section::is_empty)]
    pub loads: Section,
    /// When the sender's zone last heard from the others ([`ZoneContact`]).
    #[musli(default, skip_encoding_if = Section::is_empty)]
    pub zone_contacts: Section,
    /// The replication notice, opaque to this crate.
    #[musli(default, skip_encoding_if = Section::is_empty)]
    pub notice: Section,
    /// The sender's cluster, if it is named.
    #[musli(default, skip_encoding_if = Option::is_none)]
    pub cluster: Option<ClusterTag>,
}

/// A datagram that is not used: truncated, hostile, of another protocol or of another cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(String);

impl DecodeError {
    pub(crate) fn new(cause: impl fmt::Display) -> Self {
        Self(cause.to_string())
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "undecodable gossip: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Bytes of one datagram by what they carry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ByteCounts {
    /// Probes, digests and whatever is not counted below.
    pub probes: usize,
    /// Member records and states.
    pub members: usize,
    /// Engine records.
    pub engines: usize,
    /// Engine loads.
    pub loads: usize,
    /// Replication notices.
    pub notices: usize,
    /// Comparisons of full state, whatever they carry.
    pub sync: usize,
}

impl ByteCounts {
    /// The bytes of all kinds.
    pub fn total(&self) -> usize {
        self.probes + self.members + self.engines + self.loads + self.notices + self.sync
    }

    /// Adds `other` to the counts.
    pub fn add(&mut self, other: &Self) {
        self.probes += other.probes;
        self.members += other.members;
        self.engines += other.engines;
        self.loads += other.loads;
        self.notices += other.notices;
        self.sync += other.sync;
    }
}

impl Datagram {
    /// The bytes to send.
    pub fn encode(&self) -> Result<Vec<u8>, DecodeError> {
        musli::wire::to_vec(self).map_err(DecodeError::new)
    }

    /// Reads a datagram; an error where it is oversized, truncated, or any list in it is.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::new("oversized"));
        }
        let datagram: Self = musli::wire::decode(bytes).map_err(DecodeError::new)?;
        datagram.check_sections()?;
        Ok(datagram)
    }

    fn check_sections(&self) -> Result<(), DecodeError> {
        self.member_rows.items::<MemberRow>()?;
        self.member_changes.items::<MemberChange>()?;
        self.engine_rows.items::<EngineRow>()?;
        self.loads.items::<LoadReport>()?;
        self.zone_contacts.items::<ZoneContact>()?;
        if let MessageKind::SyncRows {
            member_buckets,
            engine_buckets,
        } = &self.kind
        {
            member_buckets.items::<u32>()?;
            engine_buckets.items::<u32>()?;
        }
        Ok(())
    }

    /// How the `encoded_bytes` of this datagram divide.
    pub fn byte_counts(&self, encoded_bytes: usize) -> ByteCounts {
        if let MessageKind::SyncRequest { .. } | MessageKind::SyncRows { .. } = self.kind {
            return ByteCounts {
                sync: encoded_bytes,
                ..ByteCounts::default()
            };
        }
        let members = self.member_rows.len() + self.member_changes.len();
        let engines = self.engine_rows.len();
        let loads = self.loads.len();
        let notices = self.notice.len();
        ByteCounts {
            probes: encoded_bytes.saturating_sub(members + engines + loads + notices),
            members,
            engines,
            loads,
            notices,
            sync: 0,
        }
    }
}
