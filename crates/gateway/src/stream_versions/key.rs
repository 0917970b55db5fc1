//! Identifies streams across gateways.

/// The length of a key in bytes.
const BYTES: usize = 16;

/// A digest of a stream's tenant and of the id of the request that brought its first event. Request ids are chosen by
/// callers, so those of different tenants are kept apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey([u8; BYTES]);

impl StreamKey {
    /// The key of the stream that the request `id` of `tenant` began; the tenant is empty if there is none.
    pub fn new(tenant: &str, id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [tenant, id] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..BYTES]);
        Self(bytes)
    }

    /// Converts from the number that gateways exchange.
    pub fn from_number(number: u128) -> Self {
        Self(number.to_be_bytes())
    }

    /// The key as a number.
    pub fn number(self) -> u128 {
        u128::from_be_bytes(self.0)
    }
}
