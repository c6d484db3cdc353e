//! Identifiers and keys.

use wisteriahitch_types::{BlockKey, ConfigVersion, KeyHash, ParseIdError, WorkspaceId};

struct NameCase {
    text: &'static str,
    expected: Result<(), ParseIdError>,
}

#[test]
fn names_are_validated() {
    let long = "a".repeat(129);
    let cases = [
        NameCase {
            text: "kandy-7",
            expected: Ok(()),
        },
        NameCase {
            text: "",
            expected: Err(ParseIdError::Empty),
        },
        NameCase {
            text: "a b",
            expected: Err(ParseIdError::BadCharacter(' ')),
        },
        NameCase {
            text: "a/b",
            expected: Err(ParseIdError::BadCharacter('/')),
        },
    ];
    for case in cases {
        let parsed = case.text.parse::<WorkspaceId>().map(|_| ());
        assert_eq!(parsed, case.expected, "{:?}", case.text);
    }
    assert_eq!(long.parse::<WorkspaceId>(), Err(ParseIdError::TooLong));
}

#[test]
fn names_from_json_are_validated() {
    assert!(serde_json::from_str::<WorkspaceId>("\"a b\"").is_err());
    assert_eq!(
        serde_json::from_str::<WorkspaceId>("\"galle\"")
            .unwrap()
            .to_string(),
        "galle"
    );
}

#[test]
fn versions_are_numbers() {
    assert_eq!("12".parse::<ConfigVersion>(), Ok(ConfigVersion::new(12)));
    assert_eq!("-1".parse::<ConfigVersion>(), Err(ParseIdError::BadNumber));
    assert!(ConfigVersion::new(2) < ConfigVersion::new(2).next());
}

#[test]
fn keys_depend_on_the_boundaries_of_their_parts() {
    // If the parts were hashed without their lengths, workspace `ab` with the text `c` and
    // workspace `a` with the text `bc` would share a block.
    let first = BlockKey::derive("test", &[b"ab", b"c"]);
    let second = BlockKey::derive("test", &[b"a", b"bc"]);
    assert_ne!(first, second);
    assert_ne!(
        KeyHash::derive("test a", &[b"x"]),
        KeyHash::derive("test b", &[b"x"])
    );
}

#[test]
fn keys_survive_a_text_round_trip() {
    let key = BlockKey::derive("test", &[b"x"]);
    assert_eq!(key.to_string().parse::<BlockKey>(), Ok(key));
    assert!("xyz".parse::<BlockKey>().is_err());
    assert!("é".repeat(16).parse::<BlockKey>().is_err());
    // `u8::from_str_radix` accepts a leading sign, which is not a hexadecimal digit.
    assert!("+1".repeat(16).parse::<BlockKey>().is_err());
}
