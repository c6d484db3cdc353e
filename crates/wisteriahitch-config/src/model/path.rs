//! Paths as rules and repeatable calls see them.

/// Returns whether every service reads the path as the rules do.
///
/// A path with empty, `.` or `..` segments, escapes, backslashes or blanks is not plain: a
/// service may fold it into another path than the one that a rule was matched against, so that a
/// refusal is walked round or a call that may not be repeated is taken for one that may. Daemons
/// are to refuse such paths before a rule is tried (`docs/RULES.md`).
pub fn is_plain_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let is_plain_char = |c: char| c.is_ascii_graphic() && !"%\\;".contains(c);
    if !rest.chars().all(is_plain_char) {
        return false;
    }
    // The last segment may be empty: `/stock/` ends with a slash.
    let inner = rest.strip_suffix('/').unwrap_or(rest);
    rest.is_empty() || inner.split('/').all(is_plain_segment)
}

fn is_plain_segment(segment: &str) -> bool {
    !matches!(segment, "" | "." | "..")
}

/// Returns whether the path starts with the prefix and the prefix ends with a segment, so that
/// `/stock` covers `/stock` and `/stock/7` but not `/stockpull`.
pub(crate) fn has_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
    }
}
