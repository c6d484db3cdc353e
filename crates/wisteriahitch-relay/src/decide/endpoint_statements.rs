//! What endpoints say of themselves in their answers.

use wisteriahitch_types::{CallRate, DurationUs, EndpointInstance, TimeUs};

use super::endpoint_row::{EndpointRow, EndpointState};
use super::endpoint_table::{EndpointChange, EndpointTable};
use super::gossip_message::LimitUpdate;
use super::named_limit::{LimitNotice, LimitOutcome, NamedLimit};

/// Longest rest that an endpoint gets without being asked again. One that wants nothing for longer than an hour has left.
const MAX_REST_US: DurationUs = DurationUs::from_ms(3_600_000);

/// What one endpoint says of itself in its answers.
#[derive(Clone, Debug, Default)]
pub struct EndpointStatements {
    /// The calls a second that it takes.
    pub limit: NamedLimit,
    /// Until when it wants nothing from this daemon.
    pub rest_until_us: TimeUs,
    /// Whether it has ever made a statement that can't be read.
    pub has_malformed: bool,
}

impl EndpointTable {
    /// Takes over the limit that an answer names; none where it names none.
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

    /// Takes over what a peer tells of an endpoint's limit, and returns the endpoint where it is known.
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

    /// Lists what other daemons are to be told of endpoints' limits.
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

    /// Returns whether an endpoint wants few calls now, or none: it names a limit, or has asked this daemon for rest.
    pub fn limits_calls(&self, instance: &EndpointInstance, now: TimeUs) -> bool {
        let statements = self.get(instance).map(|row| &row.statements);
        statements.is_some_and(|statements| {
            let limit = statements.limit.active_limit(self.limit_ttl_us, now);
            limit.is_some() || statements.rest_until_us > now
        })
    }

    /// Takes over that an endpoint has said in an answer that it leaves, to this daemon or to a peer. Returns whether that
    /// is news, and what changes with it.
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
        let change = row.map(|row| {
            row.state = EndpointState::Draining;
            EndpointChange::Draining(row.instance().clone())
        });
        (true, change)
    }

    /// Lists the lives that other daemons are to be told of as leaving, by short name.
    pub fn leaving_updates(&self, now: TimeUs) -> Vec<u32> {
        let is_registered = |short_name: u32| self.by_short_name.contains_key(&short_name);
        self.leaving.to_gossip(is_registered, now)
    }

    /// Returns whether an endpoint has said in an answer that it leaves.
    pub fn has_announced_leaving(&self, row: &EndpointRow) -> bool {
        self.leaving.contains(row.short_name)
    }

    /// Takes over for how long an endpoint that turned a call away wants nothing from this daemon, and returns whether
    /// that is later than before.
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

    /// Notes that an answer made a statement that can't be read, and returns whether it is the first one of this life
    /// of the endpoint.
    pub fn record_malformed(&mut self, instance: &EndpointInstance) -> bool {
        let row = self.get_mut(instance);
        row.is_some_and(|row| !std::mem::replace(&mut row.statements.has_malformed, true))
    }

    /// Returns how many endpoints want nothing from this daemon now, for the metrics.
    pub fn resting_count(&self, now: TimeUs) -> usize {
        let statements = self.rows.values().map(|row| &row.statements);
        let resting = statements.filter(|statements| statements.rest_until_us > now);
        resting.count()
    }

    /// Returns how many endpoints have said in an answer that they leave, for the metrics.
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
