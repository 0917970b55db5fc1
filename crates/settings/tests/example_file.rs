//! The annotated example stays complete, correct and equal to the defaults it documents.

use driftspring_settings::{
    ClaimSettings, MechanismSettings, RequestSettings, RoutingSettings, check,
};
use driftspring_types::KeyHash;

const EXAMPLE: &str = include_str!("../../../docs/driftspring.example.toml");

#[test]
fn example_loads_and_shows_the_defaults() {
    let settings = check(EXAMPLE).expect("the example is valid");
    assert_eq!(settings.request, RequestSettings::default());
    assert_eq!(settings.claims, ClaimSettings::default());
    assert_eq!(settings.routing, RoutingSettings::default());
    assert_eq!(settings.mechanisms, MechanismSettings::default());
    assert_eq!(settings.workers, 2);
    assert_eq!(settings.log.level, "info");
}

#[test]
fn example_key_hash_belongs_to_the_named_key() {
    let settings = check(EXAMPLE).expect("the example is valid");
    let tenant = &settings.bootstrap.tenants[0];
    assert_eq!(tenant.key_hash, KeyHash::of_bearer_key("example-key"));
}

#[test]
fn example_routes_are_read_whole() {
    let settings = check(EXAMPLE).expect("the example is valid");
    let route = &settings.bootstrap.routes[0];
    let shift = route.shift.expect("the example shifts its route");
    let legacy = route.legacy.as_ref().expect("the example has an upstream");
    assert_eq!((shift.to_version.0, shift.percent), (8, 20));
    assert_eq!(
        (legacy.address.as_str(), legacy.percent),
        ("10.0.0.9:8000", 50)
    );
    assert_eq!(settings.bootstrap.engines.len(), 1);
}
