//! What endpoints say of themselves in their answers.

use wisteriahitch_types::{CallRate, EndpointInstance, TimeUs};

use super::endpoint_row::EndpointRow;
use super::endpoint_table::EndpointTable;
use super::named_limit::NamedLimit;

/// What one endpoint says of itself in its answers.
#[derive(Clone, Debug, Default)]
pub struct EndpointStatements {
    /// The calls a second that it takes.
    pub limit: NamedLimit,
    /// Whether it has ever made a statement that can't be read.
    pub has_malformed: bool,
}

impl EndpointTable {
    /// Takes over the limit that an answer names, and returns whether it is another one than before.
    pub fn heard_limit(
        &mut self,
        instance: &EndpointInstance,
        rate: Option<CallRate>,
        now: TimeUs,
    ) -> bool {
        let row = self.get_mut(instance);
        row.is_some_and(|row| row.statements.limit.heard(rate, now))
    }

    /// Notes that an answer made a statement that can't be read, and returns whether it is the first one of this life
    /// of the endpoint.
    pub fn heard_malformed(&mut self, instance: &EndpointInstance) -> bool {
        let row = self.get_mut(instance);
        row.is_some_and(|row| !std::mem::replace(&mut row.statements.has_malformed, true))
    }

    /// Returns how many endpoints name a limit, for the metrics.
    pub fn limited_count(&self) -> usize {
        let is_limited = |row: &&EndpointRow| row.statements.limit.rate().is_some();
        self.rows.values().filter(is_limited).count()
    }
}
