//! The assignment of prompts to KV stores.

use std::net::SocketAddr;

use driftspring_gateway::configuration::{CallerLimits, Configuration, KvStore, Service};

fn configuration(stores: &[u16]) -> Configuration {
    let service = |port: &u16| Service {
        name: format!("store-{port}"),
        max_connections: 10,
        engine: None,
        kv_store: Some(KvStore {
            address: SocketAddr::from(([127, 0, 0, 1], *port)),
            zone: "a".to_owned(),
            capacity_tokens: 1000,
            link_megabits: 1000.0,
        }),
    };
    let limits = CallerLimits {
        max_header_bytes: 1000,
        max_body_bytes: 1000,
        ..CallerLimits::default()
    };
    let services = stores.iter().map(service).collect();
    Configuration::new(1, Vec::new(), services, None, limits)
}

fn ports(configuration: &Configuration) -> Vec<u16> {
    let port = |digest| {
        configuration
            .kv_store(digest)
            .map(|store| store.address.port())
    };
    (0..300).filter_map(port).collect()
}

#[test]
fn all_gateways_choose_the_same_store_and_each_store_gets_its_share() {
    let found = ports(&configuration(&[1, 2, 3]));
    assert_eq!(found, ports(&configuration(&[3, 1, 2])));
    for port in [1, 2, 3] {
        let count = found.iter().filter(|found| **found == port).count();
        assert!(
            (60..=140).contains(&count),
            "store {port} has {count} of 300"
        );
    }
}

#[test]
fn only_the_prompts_of_a_removed_store_move() {
    let before = ports(&configuration(&[1, 2, 3]));
    let after = ports(&configuration(&[1, 3]));
    for (before, after) in before.iter().zip(&after) {
        assert!(
            before == after || *before == 2,
            "moved from {before} to {after}"
        );
    }
    assert_eq!(configuration(&[]).kv_store(7), None);
}
