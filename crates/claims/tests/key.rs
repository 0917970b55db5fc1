//! Idempotency keys and their time of issue.

use driftspring_claims::{ClaimKey, IssuedKey, KeyError, UnixMillis};
use driftspring_types::{IdempotencyKey, TenantId};
use quickcheck::quickcheck;

#[test]
fn the_time_of_a_version_7_key_is_read() {
    let key = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let expected = UnixMillis(0x017f_22e2_79b0);
    assert_eq!(IssuedKey::parse(key, None).unwrap().issued_at, expected);
    let with_header = IssuedKey::parse(key, Some("5")).unwrap();
    assert_eq!(with_header.issued_at, expected);
}

#[test]
fn other_keys_need_the_header() {
    let random = "919108f7-52d1-4320-9bac-f847db4148a8";
    assert_eq!(IssuedKey::parse(random, None), Err(KeyError::NoIssueTime));
    let issued = IssuedKey::parse("order-17", Some(" 1700000000000 ")).unwrap();
    assert_eq!(issued.issued_at, UnixMillis(1_700_000_000_000));
    let invalid = IssuedKey::parse("order-17", Some("yesterday")).unwrap_err();
    assert!(invalid.to_string().contains("x-idempotency-issued-at"));
    assert_eq!(
        IssuedKey::parse("", Some("1")),
        Err(KeyError::InvalidLength(0))
    );
}

quickcheck! {
    fn a_key_without_time_needs_the_header(key: String, issued_at: Option<String>) -> bool {
        let parsed = IssuedKey::parse(&key, issued_at.as_deref());
        let has_number = issued_at.is_some_and(|text| text.trim().parse::<u64>().is_ok());
        parsed.is_ok() == (has_number && (1..=256).contains(&key.len()))
    }

    fn tenants_do_not_share_keys(tenant: String, rest: String, key: String) -> bool {
        let longer = format!("{tenant}{rest}");
        let shifted = format!("{rest}{key}");
        let one = ClaimKey::new(&TenantId::from(tenant.as_str()), &IdempotencyKey::from(shifted.as_str()));
        let other = ClaimKey::new(&TenantId::from(longer.as_str()), &IdempotencyKey::from(key.as_str()));
        rest.is_empty() == (one == other)
    }
}
