//! Decoding and validating a message ends in a value or an error, whatever bytes a peer sends.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use prost::Message;
use wisteriahitch_peer::{
    BlockHint, Envelope, ForwardReply, ForwardRequest, IndirectProbeRequest, MemberNews,
    MemberState, ProbeRequest, PublishBlocksRequest, PullConfigurationReply,
    PushConfigurationRequest, StatusReply, decode_address, encode_address,
};

const SEED: u64 = 0x5eed;
const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Decodes and validates `bytes` as each type of message; returns how many types could be decoded.
fn decode_as_every_type(bytes: &[u8]) -> usize {
    let probe = ProbeRequest::decode(bytes).inspect(|probe| {
        for news in &probe.news {
            let _ = news.check();
        }
    });
    let forward = ForwardRequest::decode(bytes).inspect(|forward| {
        let _ = forward.check();
    });
    let hints = PublishBlocksRequest::decode(bytes).inspect(|batch| {
        for hint in &batch.hints {
            let _ = hint.block_key();
        }
    });
    let indirect = IndirectProbeRequest::decode(bytes).inspect(|probe| {
        let _ = probe.target();
    });
    let envelope = Envelope::decode(bytes).inspect(|envelope| {
        let _ = envelope.sender();
    });
    let reply = ForwardReply::decode(bytes).inspect(|reply| {
        let _ = reply.result_code();
    });
    let decoded = [
        probe.is_ok(),
        forward.is_ok(),
        hints.is_ok(),
        indirect.is_ok(),
        envelope.is_ok(),
        reply.is_ok(),
        PushConfigurationRequest::decode(bytes).is_ok(),
        PullConfigurationReply::decode(bytes).is_ok(),
        StatusReply::decode(bytes).is_ok(),
    ];
    decoded.into_iter().filter(|is_ok| *is_ok).count()
}

#[test]
fn arbitrary_bytes_never_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..512);
    runner()
        .run(&bytes, |bytes| {
            prop_assert!(decode_as_every_type(&bytes) <= 9);
            Ok(())
        })
        .unwrap();
}

/// A faulty peer, or one of another version, may send messages that are almost valid. The test
/// changes some bytes of a valid message, so that fields have values that their types do not allow.
#[test]
fn damaged_messages_never_panic() {
    let damage = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8);
    let valid = ProbeRequest {
        envelope: Some(envelope()),
        news: vec![news(); 3],
        ..ProbeRequest::default()
    };
    let valid = valid.encode_to_vec();
    runner()
        .run(&damage, |damage| {
            let mut bytes = valid.clone();
            for (index, byte) in &damage {
                let position = index.index(bytes.len());
                bytes[position] = *byte;
            }
            let decoded = decode_as_every_type(&bytes);
            prop_assert!(!damage.is_empty() || decoded >= 1);
            Ok(())
        })
        .unwrap();
}

fn envelope() -> Envelope {
    Envelope {
        daemon_id: "entry-1".to_owned(),
        incarnation: 7,
        meant_for: 9,
    }
}

fn news() -> MemberNews {
    MemberNews {
        daemon_id: "entry-1".to_owned(),
        incarnation: 7,
        news_number: 3,
        state: MemberState::Alive.into(),
        caller_address: encode_address("127.0.0.1:8080".parse().unwrap()),
        peer_address: encode_address("127.0.0.1:8081".parse().unwrap()),
        operator_address: encode_address("127.0.0.1:8082".parse().unwrap()),
        availability_zone: "colombo-a".to_owned(),
        config_version: 4,
        load_permille: 250,
    }
}

struct CheckCase {
    name: &'static str,
    change: fn(&mut MemberNews),
    is_valid: bool,
}

const CHECK_CASES: &[CheckCase] = &[
    CheckCase {
        name: "complete update",
        change: |_| {},
        is_valid: true,
    },
    CheckCase {
        name: "no incarnation",
        change: |news| news.incarnation = 0,
        is_valid: false,
    },
    CheckCase {
        name: "unknown state",
        change: |news| news.state = 99,
        is_valid: false,
    },
    CheckCase {
        name: "address of five bytes",
        change: |news| news.peer_address = vec![127, 0, 0, 1, 80].into(),
        is_valid: false,
    },
    CheckCase {
        name: "alive without an address",
        change: |news| news.peer_address.clear(),
        is_valid: false,
    },
    CheckCase {
        name: "dead without addresses",
        change: |news| {
            news.state = MemberState::Dead.into();
            news.peer_address.clear();
        },
        is_valid: true,
    },
    CheckCase {
        name: "name with a space",
        change: |news| news.daemon_id = "entry 1".to_owned(),
        is_valid: false,
    },
];

#[test]
fn membership_updates_are_validated() {
    for case in CHECK_CASES {
        let mut news = news();
        (case.change)(&mut news);
        assert_eq!(news.check().is_ok(), case.is_valid, "{}", case.name);
    }
}

#[test]
fn block_keys_have_sixteen_bytes() {
    for len in [0, 15, 16, 17] {
        let hint = BlockHint {
            key: vec![1; len].into(),
            ..BlockHint::default()
        };
        assert_eq!(hint.block_key().is_ok(), len == 16, "{len}");
    }
}

#[test]
fn addresses_survive_a_round_trip() {
    for text in ["127.0.0.1:8080", "[::1]:65535", "[2001:db8::7]:1"] {
        let address = text.parse().unwrap();
        assert_eq!(decode_address(&encode_address(address)), Ok(address));
    }
}
