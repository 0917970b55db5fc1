//! What identifies a service and a tenant in reports: the digest of the service's name in the upper 16 bits, that of
//! the tenant's name in the others. Two services with the same digest would share their shares; configurations have
//! few services.

use xxhash_rust::xxh3::xxh3_64;

const TENANT_BITS: u32 = 48;
const TENANT_MASK: u64 = (1 << TENANT_BITS) - 1;

/// Stands for all tenants of a service together.
pub const ALL_TENANTS: u64 = 0;

/// Counts updates during which a gateway enforced shares of the service.
pub const SIGNAL: u64 = 1;

/// The digest of a service's name.
pub fn service_digest(service: &str) -> u16 {
    // The shift leaves 16 bits.
    (xxh3_64(service.as_bytes()) >> TENANT_BITS) as u16
}

/// The digest of a tenant's name; requests of public routes have the empty name.
pub fn tenant_digest(tenant: &str) -> u64 {
    (xxh3_64(tenant.as_bytes()) & TENANT_MASK).max(SIGNAL + 1)
}

/// The key of a tenant at a service.
pub fn key(service: u16, tenant: u64) -> u64 {
    u64::from(service) << TENANT_BITS | tenant
}

/// The service and the tenant of a key.
pub fn split(key: u64) -> (u16, u64) {
    // The shift leaves 16 bits.
    ((key >> TENANT_BITS) as u16, key & TENANT_MASK)
}
