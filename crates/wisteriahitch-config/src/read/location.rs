//! Locations of values in the source texts.

/// Location of a value in one of the texts that are checked together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Location {
    /// Index of the text in the list of sources.
    pub(crate) source: usize,
    /// Byte offset in the text.
    pub(crate) offset: usize,
    /// Path of the key, such as `rules[2].then.route`; empty for the top of the text.
    pub(crate) path: String,
}

/// A value with its location, for checks that run after reading.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) location: Location,
}
