//! What an answer says of its endpoint.

/// One statement of an endpoint about itself, in the head of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Statement<T> {
    /// The answer doesn't make it.
    #[default]
    Absent,
    /// The answer makes it.
    Value(T),
    /// The answer makes it in a form that can't be read, so that nothing follows from it.
    Malformed,
}

impl<T> From<Option<T>> for Statement<T> {
    /// Takes what was read, or nothing where it couldn't be read.
    fn from(read: Option<T>) -> Self {
        read.map_or(Statement::Malformed, Statement::Value)
    }
}
