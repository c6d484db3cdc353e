//! Matching of request paths by rules and repeatable calls.

const SPACE: u8 = b' ';
/// Length of a percent escape such as `%E5`, in bytes.
const ESCAPE_LEN: usize = 3;

/// Returns whether every service interprets the path in the same way as the rules.
///
/// A path with empty, `.` or `..` segments, backslashes, semicolons, blanks, or escapes of anything
/// but spaces and non-ASCII UTF-8 is not plain: a service may normalize it to another path than the
/// one that a rule was matched against. A request could then bypass a refusal, or a call that must
/// not be repeated could be treated as repeatable. [`Configuration::decide`] refuses such paths
/// before it evaluates any rule (`docs/RULES.md`).
///
/// [`Configuration::decide`]: crate::Configuration::decide
pub fn is_plain_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let is_plain_char = |c: char| c.is_ascii_graphic() && !"\\;".contains(c);
    if !rest.chars().all(is_plain_char) || !has_plain_escapes(rest) {
        return false;
    }
    // The last segment may be empty: `/stock/` ends with a slash.
    let inner = rest.strip_suffix('/').unwrap_or(rest);
    rest.is_empty() || inner.split('/').all(is_plain_segment)
}

fn is_plain_segment(segment: &str) -> bool {
    !matches!(segment, "" | "." | "..")
}

/// Returns whether every percent escape encodes a space or non-ASCII UTF-8.
///
/// An escaped ASCII character (`%2e`, `%61`) or an overlong encoding (`%c0%ae`) has a second
/// spelling that a service treats as the same path but rules match differently.
fn has_plain_escapes(path: &str) -> bool {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        if *first != b'%' {
            decoded.push(*first);
            rest = after;
            continue;
        }
        match decode_escape(after) {
            Some(byte) if byte == SPACE || !byte.is_ascii() => decoded.push(byte),
            _ => return false,
        }
        rest = &rest[ESCAPE_LEN..];
    }
    std::str::from_utf8(&decoded).is_ok()
}

fn decode_escape(digits: &[u8]) -> Option<u8> {
    let digit = |position: usize| char::from(*digits.get(position)?).to_digit(16);
    u8::try_from(digit(0)? * 16 + digit(1)?).ok()
}

/// Returns whether the path starts with the prefix and the prefix ends at a segment boundary:
/// `/stock` matches `/stock` and `/stock/7` but not `/stockpull`.
pub(crate) fn has_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
    }
}
