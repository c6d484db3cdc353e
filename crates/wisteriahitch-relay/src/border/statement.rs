//! Statements of endpoints about themselves.

/// One statement of an endpoint about itself, in the head of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Statement<T> {
    /// The answer doesn't contain the statement.
    #[default]
    Absent,
    /// The answer contains the statement with this value.
    Value(T),
    /// The answer contains the statement, but its value can't be parsed and is ignored.
    Malformed,
}

impl<T> From<Option<T>> for Statement<T> {
    /// Converts a parsed value; `None` means that it couldn't be parsed.
    fn from(read: Option<T>) -> Self {
        read.map_or(Statement::Malformed, Statement::Value)
    }
}
