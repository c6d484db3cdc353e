//! Paths as rules and repeatable calls see them.

const SPACE: u8 = b' ';
/// Length of an escape such as `%E5`.
const ESCAPE_LEN: usize = 3;

/// Returns whether every service reads the path as the rules do.
///
/// A path with empty, `.` or `..` segments, backslashes, semicolons, blanks, or escapes of anything
/// but spaces and UTF-8 beyond ASCII is not plain: a service may fold it into another path than
/// the one that a rule was matched against, so that a refusal is walked round, or a call that may
/// not be repeated is taken for one that may. [`Configuration::decide`] refuses such paths before
/// any rule is tried (`docs/RULES.md`).
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

/// Returns whether every escape stands for a space or for UTF-8 beyond ASCII.
///
/// An escaped ASCII character (`%2e`, `%61`) or an overlong one (`%c0%ae`) has another spelling
/// that rules would match and services take for the same.
fn has_plain_escapes(path: &str) -> bool {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        if *first != b'%' {
            decoded.push(*first);
            rest = after;
            continue;
        }
        match escaped_byte(after) {
            Some(byte) if byte == SPACE || !byte.is_ascii() => decoded.push(byte),
            _ => return false,
        }
        rest = &rest[ESCAPE_LEN..];
    }
    std::str::from_utf8(&decoded).is_ok()
}

fn escaped_byte(digits: &[u8]) -> Option<u8> {
    let digit = |position: usize| char::from(*digits.get(position)?).to_digit(16);
    u8::try_from(digit(0)? * 16 + digit(1)?).ok()
}

/// Returns whether the path starts with the prefix and the prefix ends with a segment, so that
/// `/stock` covers `/stock` and `/stock/7` but not `/stockpull`.
pub(crate) fn has_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
    }
}
