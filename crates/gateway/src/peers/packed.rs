//! Replicas as they fill a page of changes: what many of them have in common is told once.
//!
//! After all daemons of a large group were killed its reader tells each of them of all replicas over one link, and nothing is
//! served before: 3,300 replicas take 311 kB as they are. Daemons of an earlier version don't ask for it
//! ([`super::message::Ask::takes_packed`]) and are told as before.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use musli::mode::Binary;
use musli::{Decode, Encode};

use super::message::{Change, Item, Tell, WireReplica};

/// The bytes of an address: four of the machine and two of the port, the high ones first.
const ADDRESS_BYTES: usize = 6;

/// What a replica takes beside its id and its birth: its address, the place of its kind, the length of the id.
const REPLICA_BYTES: usize = ADDRESS_BYTES + 1 + 2;

/// What a birth takes beside its digits: two marks, and the rest of one digit.
const BIRTH_BYTES: usize = 3;

/// Bits of a digit of a number in a datagram.
const DIGIT_BITS: usize = 7;

/// What many replicas have in common; texts are places in [`PackedReplicas::texts`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReplicaKind {
    /// Their service.
    pub service: u8,
    /// Their zone.
    pub zone: u8,
    /// Requests that each works on at once.
    pub slots: u32,
    /// Whether they are leaving.
    pub is_draining: bool,
    /// Their weights: models with their versions.
    pub models: Vec<(u8, u64)>,
}

/// Replicas, in columns: the first id belongs to the first address, and so on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct PackedReplicas {
    /// The names of services, zones and models.
    pub texts: Vec<String>,
    /// The kinds.
    pub kinds: Vec<ReplicaKind>,
    /// The place of each replica's kind among them.
    #[musli(bytes)]
    pub kind_of: Vec<u8>,
    /// The ids.
    pub ids: Vec<String>,
    /// The lives, see [`WireReplica::born`].
    pub born: Vec<Option<u64>>,
    /// The addresses, six bytes each.
    #[musli(bytes)]
    pub addresses: Vec<u8>,
}

impl PackedReplicas {
    /// Takes replicas out of `changes`; what can't be packed stays there.
    pub fn take_from(changes: &mut Vec<Change>) -> Self {
        let mut packed = Self::default();
        changes.retain(|change| match change {
            Change::Put(Item::Replica(replica)) => !packed.add(replica),
            _ => true,
        });
        packed
    }

    /// Adds a replica; false where it does not fit in.
    fn add(&mut self, replica: &WireReplica) -> bool {
        let Some(address) = packed_address(&replica.address) else {
            return false;
        };
        let Some(place) = self.place_of_kind(replica) else {
            return false;
        };
        self.kind_of.push(place);
        self.ids.push(replica.id.clone());
        self.born.push(replica.born);
        self.addresses.extend(address);
        true
    }

    /// The place of a replica's kind, which is added where it is new; nothing where there are too many.
    fn place_of_kind(&mut self, replica: &WireReplica) -> Option<u8> {
        let mut models = Vec::new();
        for (model, version) in &replica.models {
            models.push((place_of(&mut self.texts, model.clone())?, *version));
        }
        let kind = ReplicaKind {
            service: place_of(&mut self.texts, replica.service.clone())?,
            zone: place_of(&mut self.texts, replica.zone.clone())?,
            slots: replica.slots,
            is_draining: replica.is_draining,
            models,
        };
        place_of(&mut self.kinds, kind)
    }

    /// The text at this place.
    fn text(&self, place: u8) -> Option<String> {
        self.texts.get(usize::from(place)).cloned()
    }

    /// The replicas as changes. One whose columns, kind or names are missing is left out.
    pub fn changes(&self) -> impl Iterator<Item = Change> {
        let columns = self.ids.iter().zip(&self.kind_of).zip(&self.born);
        let columns = columns.zip(self.addresses.chunks_exact(ADDRESS_BYTES));
        columns.filter_map(|(((id, place), born), address)| {
            let kind = self.kinds.get(usize::from(*place))?;
            let models = kind.models.iter();
            let models = models.map(|(model, version)| Some((self.text(*model)?, *version)));
            Some(Change::Put(Item::Replica(WireReplica {
                id: id.clone(),
                born: *born,
                service: self.text(kind.service)?,
                address: unpacked_address(address)?,
                zone: self.text(kind.zone)?,
                slots: kind.slots,
                is_draining: kind.is_draining,
                models: models.collect::<Option<_>>()?,
            })))
        })
    }
}

/// The place of `item`, which is added where it is new; nothing where there are too many.
fn place_of<T: PartialEq>(items: &mut Vec<T>, item: T) -> Option<u8> {
    let known = items.iter().position(|known| *known == item);
    let place = u8::try_from(known.unwrap_or(items.len())).ok()?;
    if known.is_none() {
        items.push(item);
    }
    Some(place)
}

impl Tell {
    /// Moves replicas from the changes to where they take less room.
    pub fn pack(&mut self) {
        let packed = PackedReplicas::take_from(&mut self.changes);
        self.packed = Some(Box::new(packed));
    }

    /// Puts packed replicas back among the changes.
    pub fn unpack(&mut self) {
        if let Some(packed) = self.packed.take() {
            self.changes.extend(packed.changes());
        }
    }
}

/// Counts what fits into a page of packed changes.
#[derive(Debug)]
pub struct PackedSize {
    left: usize,
    known: PackedReplicas,
}

impl PackedSize {
    /// An empty page of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            left: bytes,
            known: PackedReplicas::default(),
        }
    }

    /// Whether one more change fits, which then counts.
    pub fn fits(&mut self, change: &Change) -> bool {
        let size = self.size_of(change);
        let fits = size <= self.left;
        self.left = self.left.saturating_sub(size);
        fits
    }

    fn size_of(&mut self, change: &Change) -> usize {
        let Change::Put(Item::Replica(replica)) = change else {
            return change.wire_size();
        };
        let (texts, kinds) = (self.known.texts.len(), self.known.kinds.len());
        let is_packed = packed_address(&replica.address).is_some()
            && self.known.place_of_kind(replica).is_some();
        if !is_packed {
            return change.wire_size();
        }
        let new_texts: usize = self.known.texts[texts..].iter().map(size).sum();
        let new_kinds: usize = self.known.kinds[kinds..].iter().map(size).sum();
        new_texts + new_kinds + REPLICA_BYTES + replica.id.len() + size_of_birth(replica.born)
    }
}

/// The size of something that few replicas of a page bring with them, in bytes.
fn size<T: Encode<Binary>>(item: &T) -> usize {
    musli::wire::to_vec(item).map_or(0, |bytes| bytes.len())
}

fn size_of_birth(born: Option<u64>) -> usize {
    let bits = born.map_or(0, |born| u64::BITS - born.leading_zeros());
    BIRTH_BYTES + bits as usize / DIGIT_BITS
}

/// The bytes of an address; nothing where it is another text than they are read back as.
fn packed_address(text: &str) -> Option<[u8; ADDRESS_BYTES]> {
    let address: SocketAddrV4 = text
        .parse()
        .ok()
        .filter(|address: &SocketAddrV4| address.to_string() == text)?;
    let [a, b, c, d] = address.ip().octets();
    let [high, low] = address.port().to_be_bytes();
    Some([a, b, c, d, high, low])
}

/// The address of these bytes.
fn unpacked_address(bytes: &[u8]) -> Option<String> {
    let [a, b, c, d, high, low] = *bytes else {
        return None;
    };
    let machine = Ipv4Addr::new(a, b, c, d);
    let port = u16::from_be_bytes([high, low]);
    Some(SocketAddr::from((machine, port)).to_string())
}
