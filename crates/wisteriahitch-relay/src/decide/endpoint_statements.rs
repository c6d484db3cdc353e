//! What endpoints state about themselves in their answers: a call limit, rest, and leaving.

use wisteriahitch_types::{CallRate, DurationUs, EndpointInstance, TimeUs};

use super::endpoint_row::{EndpointRow, EndpointState};
use super::endpoint_table::{EndpointChange, EndpointTable};
use super::gossip_message::LimitUpdate;
use super::named_limit::{LimitNotice, LimitOutcome, StatedLimit};

/// Maximum rest after which an endpoint gets calls again. One that wants no call for more than an
/// hour has left.
const MAX_REST_US: DurationUs = DurationUs::from_ms(3_600_000);

/// What one endpoint instance has stated in its answers.
#[derive(Clone, Debug, Default)]
pub struct EndpointStatements {
    /// The rate of calls that the endpoint accepts.
    pub limit: StatedLimit,
    /// Until when the endpoint wants no call from this daemon.
    pub rest_until_us: TimeUs,
    /// Whether an answer has ever contained a statement that can't be parsed.
    pub has_malformed: bool,
}

impl EndpointTable {
    /// Records the limit that an answer names; `None` if it names no limit.
    pub fn record_limit(
        &mut self,
        instance: &EndpointInstance,
        rate: Option<CallRate>,
        now: TimeUs,
    ) -> LimitOutcome {
        let row = self.get_mut(instance);
        row.map_or(LimitOutcome::default(), |row| {
            row.statements.limit.record_answer(rate, now)
        })
    }

    /// Applies a peer's report of an endpoint's limit. Returns the endpoint and what has changed,
    /// or `None` if the endpoint isn't in the table.
    pub fn apply_limit_update(
        &mut self,
        update: &LimitUpdate,
        now: TimeUs,
    ) -> Option<(EndpointInstance, LimitOutcome)> {
        let row = self.row_by_short_name(update.endpoint)?;
        let received_at_us = now
            .get()
            .saturating_sub(update.age_ms.saturating_mul(1_000));
        let notice = LimitNotice {
            rate: update.rate,
            received_at_us: TimeUs::new(received_at_us),
        };
        let outcome = row.statements.limit.apply_peer_notice(notice, now);
        Some((row.instance().clone(), outcome))
    }

    /// Lists the limits to send to the other daemons.
    pub fn limit_updates(&self, now: TimeUs) -> Vec<LimitUpdate> {
        let updates = self.rows.values().filter_map(|row| {
            let notice = row
                .statements
                .limit
                .notice_to_gossip(self.limit_ttl_us, now)?;
            Some(LimitUpdate {
                endpoint: row.short_name,
                rate: notice.rate,
                age_ms: now.since(notice.received_at_us).as_ms(),
            })
        });
        updates.collect()
    }

    /// Returns whether an endpoint names a limit, or has asked this daemon for rest.
    pub fn limits_calls(&self, instance: &EndpointInstance, now: TimeUs) -> bool {
        let statements = self.get(instance).map(|row| &row.statements);
        statements.is_some_and(|statements| {
            let limit = statements.limit.active_limit(self.limit_ttl_us, now);
            limit.is_some() || statements.rest_until_us > now
        })
    }

    /// Records that an endpoint has announced its leaving in an answer to this daemon or to a peer.
    /// Returns whether this wasn't known yet, and the change of the endpoint's state.
    pub fn record_leaving(
        &mut self,
        short_name: u32,
        now: TimeUs,
    ) -> (bool, Option<EndpointChange>) {
        if !self.leaving.insert(short_name, now) {
            return (false, None);
        }
        let row = self.row_by_short_name(short_name);
        let row = row.filter(|row| row.state != EndpointState::Draining);
        let mut was_ready = false;
        let change = row.map(|row| {
            was_ready = row.state == EndpointState::Ready;
            row.state = EndpointState::Draining;
            EndpointChange::Draining(row.instance().clone())
        });
        if was_ready {
            self.keep_for_resumed(short_name, now);
        }
        (true, change)
    }

    /// Lists the short names of leaving instances to send to the other daemons.
    pub fn leaving_updates(&self, now: TimeUs) -> Vec<u32> {
        let is_registered = |short_name: u32| self.by_short_name.contains_key(&short_name);
        self.leaving.to_gossip(is_registered, now)
    }

    /// Returns whether an endpoint has announced its leaving in an answer.
    pub fn has_announced_leaving(&self, row: &EndpointRow) -> bool {
        self.leaving.contains(row.short_name)
    }

    /// Records how long an endpoint that turned a call away wants no further call from this daemon.
    /// Returns whether that extends its rest.
    pub fn record_rest(
        &mut self,
        instance: &EndpointInstance,
        rest: DurationUs,
        now: TimeUs,
    ) -> bool {
        let Some(row) = self.get_mut(instance) else {
            return false;
        };
        let until_us = now + rest.min(MAX_REST_US);
        let is_later = until_us > row.statements.rest_until_us.max(now);
        if is_later {
            row.statements.rest_until_us = until_us;
        }
        is_later
    }

    /// Records that an answer contained a statement that can't be parsed. Returns whether it is the
    /// first one of this instance.
    pub fn record_malformed(&mut self, instance: &EndpointInstance) -> bool {
        let row = self.get_mut(instance);
        row.is_some_and(|row| !std::mem::replace(&mut row.statements.has_malformed, true))
    }

    /// Returns how many endpoints want no call from this daemon now, for the metrics.
    pub fn resting_count(&self, now: TimeUs) -> usize {
        let statements = self.rows.values().map(|row| &row.statements);
        let resting = statements.filter(|statements| statements.rest_until_us > now);
        resting.count()
    }

    /// Returns how many endpoints have announced their leaving in an answer, for the metrics.
    pub fn leaving_count(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| self.has_announced_leaving(row)).count()
    }

    /// Returns how many endpoints name a limit, for the metrics.
    pub fn limited_count(&self, now: TimeUs) -> usize {
        let limits = self.rows.values().map(|row| &row.statements.limit);
        let in_force = limits.filter(|named| named.active_limit(self.limit_ttl_us, now).is_some());
        in_force.count()
    }
}
