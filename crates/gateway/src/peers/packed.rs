//! A compact form of the replicas in a page of changes, in which common properties are stored once.
//!
//! After all gateways of a large group were killed, its reader sends all replicas to each member over one link with one
//! processor, and nothing is served before: the plain form of 3,300 replicas takes 311 kB. Gateways of an earlier
//! version don't request the packed form ([`super::message::SyncQuery::accepts_packed`]) and get the plain one.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use musli::mode::Binary;
use musli::{Decode, Encode};

use super::bit_rows::{BitRows, MAX_ROWS, add_differences, packed_bytes};
use super::message::{Change, Item, SyncReply, WireReplica};

/// The size of an address: four bytes of the IP address and two of the port, in network byte order.
const ADDRESS_BYTES: usize = 6;

/// The size of a birth time.
const BIRTH_BYTES: usize = 8;

/// The size of a table without its rows: the tags and lengths of its fields.
const TABLE_BYTES: usize = 24;

/// Properties that many replicas share; strings are indexes into [`PackedReplicas::texts`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReplicaKind {
    /// Their service.
    pub service: u8,
    /// Their zone.
    pub zone: u8,
    /// The number of requests that each processes concurrently.
    pub slots: u32,
    /// Whether they are draining.
    pub is_draining: bool,
    /// Their loaded weights: models with their versions.
    pub models: Vec<(u8, u64)>,
    /// The version of their software, if it differs from [`PackedReplicas::software`].
    #[musli(default, skip_encoding_if = Option::is_none)]
    pub software: Option<OwnSoftware>,
}

/// The version of the software of replicas of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct OwnSoftware {
    /// Its name; none if it is unknown.
    pub name: Option<u8>,
}

/// Replicas with rows of equal length. A row holds the index of the kind, the address, the birth time if there is one,
/// and the id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct ReplicaTable {
    /// Whether the rows have a birth time.
    pub has_birth: bool,
    /// The rows.
    pub rows: BitRows,
}

/// Packed replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct PackedReplicas {
    /// The names of services, zones, models and versions of software.
    pub texts: Vec<String>,
    /// The kinds.
    pub kinds: Vec<ReplicaKind>,
    /// The replicas.
    pub tables: Vec<ReplicaTable>,
    /// The version of the software of all kinds that state no other one; none if it is unknown.
    #[musli(default, skip_encoding_if = Option::is_none)]
    pub software: Option<u8>,
}

impl PackedReplicas {
    /// Moves the replicas out of `changes`; those that can't be packed stay there.
    pub fn take_replicas(changes: &mut Vec<Change>) -> Self {
        let mut packer = Packer::default();
        changes.retain(|change| match change {
            Change::Put(Item::Replica(replica)) => !packer.add(replica),
            _ => true,
        });
        packer.finish()
    }

    /// The string at this index.
    fn text(&self, index: u8) -> Option<String> {
        self.texts.get(usize::from(index)).cloned()
    }

    /// The replicas as changes. Replicas with an invalid row, kind or name are left out.
    pub fn changes(&self) -> impl Iterator<Item = Change> {
        self.tables.iter().flat_map(|table| {
            let rows = table.rows.rows();
            let replicas = rows.filter_map(|row| self.replica(&row, table.has_birth));
            replicas.map(|replica| Change::Put(Item::Replica(replica)))
        })
    }

    fn replica(&self, row: &[u8], has_birth: bool) -> Option<WireReplica> {
        let (index, rest) = row.split_first()?;
        let (address, rest) = rest.split_first_chunk::<ADDRESS_BYTES>()?;
        let (born, id) = match has_birth {
            true => {
                let (born, id) = rest.split_first_chunk::<BIRTH_BYTES>()?;
                (Some(u64::from_be_bytes(*born)), id)
            }
            false => (None, rest),
        };
        let kind = self.kinds.get(usize::from(*index))?;
        let models = kind.models.iter();
        let models = models.map(|(model, version)| Some((self.text(*model)?, *version)));
        Some(WireReplica {
            id: String::from_utf8(id.to_vec()).ok()?,
            born,
            service: self.text(kind.service)?,
            address: unpacked_address(*address),
            zone: self.text(kind.zone)?,
            slots: kind.slots,
            is_draining: kind.is_draining,
            models: models.collect::<Option<_>>()?,
            software: match kind.software.map_or(self.software, |own| own.name) {
                Some(index) => Some(self.text(index)?),
                None => None,
            },
        })
    }
}

/// A table under construction.
#[derive(Debug, Default)]
struct TableBuilder {
    has_birth: bool,
    rows: Vec<Vec<u8>>,
    differing: Vec<u8>,
}

impl TableBuilder {
    fn accepts(&self, row: &[u8], has_birth: bool) -> bool {
        let is_alike = self.has_birth == has_birth && self.differing.len() == row.len();
        is_alike && self.rows.len() < MAX_ROWS
    }

    fn add(&mut self, row: Vec<u8>) {
        if let Some(first) = self.rows.first() {
            add_differences(&mut self.differing, first, &row);
        }
        self.rows.push(row);
    }

    fn bytes(&self) -> usize {
        TABLE_BYTES + packed_bytes(&self.differing, self.rows.len())
    }
}

/// Collects replicas into tables.
#[derive(Debug, Default)]
struct Packer {
    texts: Vec<String>,
    kinds: Vec<ReplicaKind>,
    /// See [`PackedReplicas::software`]; not set before the first replica.
    software: Option<Option<u8>>,
    /// The size of the strings and kinds, in bytes.
    names_bytes: usize,
    tables: Vec<TableBuilder>,
}

impl Packer {
    /// Adds a replica; false if it can't be packed.
    fn add(&mut self, replica: &WireReplica) -> bool {
        let Some(address) = packed_address(&replica.address) else {
            return false;
        };
        let Some(index) = self.kind_index(replica) else {
            return false;
        };
        let mut row = vec![index];
        row.extend(address);
        row.extend(replica.born.map(u64::to_be_bytes).into_iter().flatten());
        row.extend(replica.id.as_bytes());
        self.table_for(&row, replica.born.is_some()).add(row);
        true
    }

    /// The table for this row, which is created if necessary.
    fn table_for(&mut self, row: &[u8], has_birth: bool) -> &mut TableBuilder {
        let known = self
            .tables
            .iter()
            .position(|table| table.accepts(row, has_birth));
        let index = known.unwrap_or(self.tables.len());
        if known.is_none() {
            self.tables.push(TableBuilder {
                has_birth,
                rows: Vec::new(),
                differing: vec![0; row.len()],
            });
        }
        &mut self.tables[index]
    }

    /// The index of a replica's kind, which is added if it is new; `None` if there are too many.
    fn kind_index(&mut self, replica: &WireReplica) -> Option<u8> {
        let mut models = Vec::new();
        for (model, version) in &replica.models {
            models.push((self.text_index(model)?, *version));
        }
        let kind = ReplicaKind {
            service: self.text_index(&replica.service)?,
            zone: self.text_index(&replica.zone)?,
            slots: replica.slots,
            is_draining: replica.is_draining,
            models,
            software: self.own_software(replica)?,
        };
        index_of(&mut self.kinds, &mut self.names_bytes, &kind)
    }

    /// The version of a replica's software as its kind states it; `None` if there are too many texts. The first replica
    /// decides what the others need not state.
    fn own_software(&mut self, replica: &WireReplica) -> Option<Option<OwnSoftware>> {
        let name = match &replica.software {
            Some(name) => Some(self.text_index(name)?),
            None => None,
        };
        let common = *self.software.get_or_insert(name);
        Some((name != common).then_some(OwnSoftware { name }))
    }

    fn text_index(&mut self, text: &String) -> Option<u8> {
        index_of(&mut self.texts, &mut self.names_bytes, text)
    }

    /// The approximate size of everything added, in bytes.
    fn bytes(&self) -> usize {
        let tables = self.tables.iter().map(TableBuilder::bytes);
        self.names_bytes + tables.sum::<usize>()
    }

    fn finish(self) -> PackedReplicas {
        let tables = self.tables.iter().map(|table| ReplicaTable {
            has_birth: table.has_birth,
            rows: BitRows::pack(&table.rows),
        });
        PackedReplicas {
            tables: tables.collect(),
            texts: self.texts,
            kinds: self.kinds,
            software: self.software.flatten(),
        }
    }
}

/// The index of `item`. A new item is added, and its size is added to `bytes`; `None` if there are too many.
fn index_of<T>(items: &mut Vec<T>, bytes: &mut usize, item: &T) -> Option<u8>
where
    T: PartialEq + Clone + Encode<Binary>,
{
    let known = items.iter().position(|known| known == item);
    let index = u8::try_from(known.unwrap_or(items.len())).ok()?;
    if known.is_none() {
        *bytes += musli::wire::to_vec(item).map_or(0, |encoded| encoded.len());
        items.push(item.clone());
    }
    Some(index)
}

impl SyncReply {
    /// Moves the packed replicas back into the changes.
    pub fn unpack(&mut self) {
        if let Some(packed) = self.packed.take() {
            self.changes.extend(packed.changes());
        }
    }
}

/// Tracks the size of a page of packed changes.
#[derive(Debug)]
pub struct PackedPageSize {
    max_bytes: usize,
    /// The size of the changes in the plain form.
    unpacked_bytes: usize,
    packer: Packer,
}

impl PackedPageSize {
    /// An empty page with room for `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            max_bytes: bytes,
            unpacked_bytes: 0,
            packer: Packer::default(),
        }
    }

    /// Adds a change and returns whether it still fits. After one that doesn't, none does.
    pub fn fits(&mut self, change: &Change) -> bool {
        let is_packed = match change {
            Change::Put(Item::Replica(replica)) => self.packer.add(replica),
            _ => false,
        };
        if !is_packed {
            self.unpacked_bytes += change.wire_size();
        }
        self.unpacked_bytes + self.packer.bytes() <= self.max_bytes
    }
}

/// The bytes of an address, or `None` if they would not be converted back to the same text.
fn packed_address(text: &str) -> Option<[u8; ADDRESS_BYTES]> {
    let address: SocketAddrV4 = text
        .parse()
        .ok()
        .filter(|address: &SocketAddrV4| address.to_string() == text)?;
    let [a, b, c, d] = address.ip().octets();
    let [high, low] = address.port().to_be_bytes();
    Some([a, b, c, d, high, low])
}

/// The text of an address.
fn unpacked_address([a, b, c, d, high, low]: [u8; ADDRESS_BYTES]) -> String {
    let machine = Ipv4Addr::new(a, b, c, d);
    let port = u16::from_be_bytes([high, low]);
    SocketAddr::from((machine, port)).to_string()
}
