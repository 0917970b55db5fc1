//! Properties of the chained block hashes.

use driftspring_prefix::{BLOCK_BYTES, CacheScope, Fingerprint};
use driftspring_types::WeightsVersion;
use quickcheck::quickcheck;

fn shared_blocks(left: &Fingerprint, right: &Fingerprint) -> usize {
    left.blocks
        .iter()
        .zip(&right.blocks)
        .take_while(|(a, b)| a == b)
        .count()
}

quickcheck! {
    fn equal_prefixes_share_exactly_their_whole_blocks(prefix: Vec<u8>, left: u8, right: u8) -> bool {
        let prefix: Vec<u8> = prefix.iter().cycle().take(prefix.len() * 40).copied().collect();
        let extend = |byte: u8| [prefix.as_slice(), &[byte; BLOCK_BYTES]].concat();
        let one = Fingerprint::of_prompt("salt", &extend(left));
        let two = Fingerprint::of_prompt("salt", &extend(right));
        let expected = if left == right { one.blocks.len() } else { prefix.len() / BLOCK_BYTES };
        shared_blocks(&one, &two) == expected
    }
}

#[test]
fn scopes_never_share_blocks() {
    let text = vec![b'x'; BLOCK_BYTES * 8];
    let scope = |tenant: &str, version| CacheScope {
        tenant: tenant.into(),
        model: "verdict".into(),
        weights_version: WeightsVersion(version),
    };
    let base = Fingerprint::of_prompt(&scope("a", 1).salt(), &text);
    for other in [scope("b", 1), scope("a", 2)] {
        let other = Fingerprint::of_prompt(&other.salt(), &text);
        assert_eq!(shared_blocks(&base, &other), 0);
    }
}
