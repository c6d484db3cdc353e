//! Where in which text a value stands.

/// Locates a value in one of the texts that are checked together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Place {
    /// Position of the text among the sources.
    pub(crate) source: usize,
    /// Byte offset in the text.
    pub(crate) offset: usize,
    /// Key of the value.
    pub(crate) path: String,
}

/// Holds a value with its place, for checks that come after reading.
#[derive(Clone, Debug)]
pub(crate) struct Placed<T> {
    pub(crate) value: T,
    pub(crate) place: Place,
}
