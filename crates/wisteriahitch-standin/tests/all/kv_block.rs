use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wisteriahitch_standin::engine::{
    HEADER_LEN, KvBlockError, KvBlockHeader, block_bytes, build_block, check_block,
};
use wisteriahitch_types::{ByteCount, TokenCount};

use crate::site::{key, version};

const SEED: [u8; 32] = *b"wisteriahitch KV blocks, headers";

fn runner() -> TestRunner {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

#[test]
fn any_bytes_parse_as_a_header_or_give_an_error() {
    let magic = prop_oneof![Just(b"WKV1".to_vec()), vec(any::<u8>(), 0..5)];
    let contents = (magic, vec(any::<u8>(), 0..80));
    let outcome = runner().run(&contents, |(magic, rest)| {
        let content = [magic, rest].concat();
        let is_block = content.len() >= HEADER_LEN && content.starts_with(b"WKV1");
        let parsed = KvBlockHeader::parse(&content);
        prop_assert_eq!(parsed.is_ok(), is_block);
        if let Err(error) = parsed {
            prop_assert_eq!(error, KvBlockError::NoHeader);
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn a_changed_or_truncated_block_is_rejected() {
    let changes = (0..500u64, 0..20u64, any::<prop::sample::Index>(), 1..=255u8);
    let outcome = runner().run(&changes, |(tokens, per_token, position, change)| {
        let tokens = TokenCount::new(tokens);
        let v1 = version("v1");
        let bytes = block_bytes(tokens, per_token);
        let content = build_block(key(1), tokens, &v1, bytes);
        let crc32c = crc32c::crc32c(&content);
        let whole = check_block(&content, key(1), &v1, bytes, crc32c);
        prop_assert_eq!(whole, Ok(tokens));

        let mut changed = content.to_vec();
        changed[position.index(content.len())] ^= change;
        let checked = check_block(&changed, key(1), &v1, bytes, crc32c);
        prop_assert_eq!(checked, Err(KvBlockError::WrongChecksum));
        let truncated = &content[..position.index(content.len())];
        let checked = check_block(truncated, key(1), &v1, bytes, crc32c);
        prop_assert_eq!(checked, Err(KvBlockError::WrongLength));
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn a_block_of_another_key_or_version_is_rejected_by_its_header() {
    let (v1, v2) = (version("v1"), version("v2"));
    let tokens = TokenCount::new(100);
    let bytes = ByteCount::new(1_000);
    let content = build_block(key(1), tokens, &v1, bytes);
    let crc32c = crc32c::crc32c(&content);
    let other_key = check_block(&content, key(2), &v1, bytes, crc32c);
    assert_eq!(other_key, Err(KvBlockError::WrongKey));
    let other_version = check_block(&content, key(1), &v2, bytes, crc32c);
    assert_eq!(other_version, Err(KvBlockError::WrongVersion));
    let noise = vec![7; 1_000];
    let checked = check_block(&noise, key(1), &v1, bytes, crc32c::crc32c(&noise));
    assert_eq!(checked, Err(KvBlockError::NoHeader));
}
