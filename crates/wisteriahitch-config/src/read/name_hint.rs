//! Suggests a known name for a misspelled one.

/// Maximum edit distance between a name and its suggestion.
const MAX_EDITS: usize = 2;

/// Returns the known name nearest to `found` by edit distance, or else one that differs from it
/// only in its last part (after `_`), such as the unit.
pub(crate) fn nearest_name<'k>(
    found: &str,
    known: impl IntoIterator<Item = &'k str>,
) -> Option<&'k str> {
    known
        .into_iter()
        .filter_map(|name| Some((distance(found, name)?, name)))
        .min()
        .map(|(_, name)| name)
}

fn distance(found: &str, known: &str) -> Option<usize> {
    let edits = edit_distance(found, known);
    if edits <= MAX_EDITS && edits < found.len() {
        return Some(edits);
    }
    // A missing or wrong unit, such as `deadline` or `deadline_us` for `deadline_ms`.
    let stem = |name: &str| name.rsplit_once('_').map(|(stem, _)| stem.to_owned());
    let known_stem = stem(known)?;
    let has_same_stem = found == known_stem || stem(found).is_some_and(|stem| stem == known_stem);
    has_same_stem.then_some(MAX_EDITS + 1)
}

fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, l) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, r) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(l != *r);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
