//! Prints the memory of one tenant's limits and the time of one admission.
//! `cargo run --release -p driftspring-limits --example admission_cost`

use std::time::Instant;

use driftspring_limits::Admission;
use driftspring_types::{KeyHash, Tenant, TenantId};

const TENANTS: usize = 41_000;
const ADMISSIONS_PER_THREAD: usize = 500_000;
const THREADS: usize = 4;
const BYTES_PER_PAGE: usize = 4096;

fn main() {
    let tenants: Vec<Tenant> = (0..TENANTS).map(tenant).collect();
    let admission = Admission::new(1_000_000);
    let before = resident_bytes();
    let first_seen = Instant::now();
    for tenant in &tenants {
        drop(admission.admit(tenant));
    }
    let first_seen = first_seen.elapsed();
    let bytes = resident_bytes().saturating_sub(before);
    println!(
        "{TENANTS} tenants: {bytes} bytes resident, {} bytes a tenant; first admission {:?} each",
        bytes / TENANTS,
        first_seen / TENANTS as u32
    );
    let began = Instant::now();
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (admission, tenants) = (&admission, &tenants);
            scope.spawn(move || admit_many(admission, tenants, thread));
        }
    });
    println!(
        "{THREADS} threads: {:?} an admission and release in each",
        began.elapsed() / ADMISSIONS_PER_THREAD as u32
    );
}

fn tenant(number: usize) -> Tenant {
    let name = format!("tenant-{number}");
    Tenant {
        id: TenantId::new(name.as_str()),
        key_hash: KeyHash::of_bearer_key(&name),
        requests_per_second: 1_000_000,
        max_concurrent: 1000,
        weight: 1,
    }
}

fn admit_many(admission: &Admission, tenants: &[Tenant], thread: usize) {
    for step in 0..ADMISSIONS_PER_THREAD {
        let tenant = &tenants[(step * 7919 + thread) % tenants.len()];
        drop(admission.admit(tenant));
    }
}

/// The process's resident memory, as Linux tells it; 0 elsewhere.
fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<usize>().ok());
    pages.unwrap_or(0) * BYTES_PER_PAGE
}
