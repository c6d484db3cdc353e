//! Recording of this daemon's attempts at endpoints and of their outcomes.

use wisteriahitch_types::{DurationUs, EndpointId, TimeUs, TokenCount};

use super::{AttemptFailure, AttemptId, EndpointTable, InFlightAttempt};

impl EndpointTable {
    /// Records an attempt that is sent now and returns its id for the calls that follow.
    ///
    /// `prefill_tokens` is the number of prompt tokens that the endpoint has to compute, and
    /// `expected_us` the estimated time to the first token. Returns `None` for an unknown endpoint.
    pub fn begin_attempt(
        &mut self,
        endpoint: &EndpointId,
        prefill_tokens: TokenCount,
        expected_us: DurationUs,
        now: TimeUs,
    ) -> Option<AttemptId> {
        let row = *self.by_id.get(endpoint)?;
        let record = &mut self.rows[row];
        record.in_flight += 1;
        record.sent_load.add(1, to_signed(prefill_tokens), now);
        let id = AttemptId(self.next_attempt_id);
        self.next_attempt_id += 1;
        let attempt = InFlightAttempt {
            row,
            instance_number: record.instance_number,
            sent_at_us: now,
            prefill_tokens,
            expected_us,
            has_first_token: false,
        };
        self.attempts.insert(id, attempt);
        Some(id)
    }

    /// Records the first token of an attempt; later calls for the same attempt do nothing.
    pub fn record_first_token(&mut self, id: AttemptId, now: TimeUs) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.has_first_token {
            return;
        }
        attempt.has_first_token = true;
        let record = &mut self.rows[attempt.row];
        if record.instance_number != attempt.instance_number {
            return;
        }
        record
            .sent_load
            .add(0, -to_signed(attempt.prefill_tokens), now);
        let elapsed = now.since(attempt.sent_at_us);
        record
            .outlier
            .record_first_token(elapsed, attempt.expected_us);
    }

    /// Records that an attempt brought a whole answer.
    pub fn record_success(&mut self, id: AttemptId, now: TimeUs) {
        self.record_first_token(id, now);
        let Some(row) = self.remove_attempt_and_load(id, now) else {
            return;
        };
        self.rows[row].outlier.record_success();
    }

    /// Records that an attempt failed, which may eject the endpoint.
    ///
    /// A refused attempt stays counted as load until a report that was made later. Otherwise an
    /// endpoint that refuses at once while its report shows it idle would look best to every
    /// request and attract them all, and callers would be refused while other endpoints have
    /// capacity.
    pub fn record_failure(&mut self, id: AttemptId, failure: AttemptFailure, now: TimeUs) {
        let is_refused = failure == AttemptFailure::Refused;
        let row = match is_refused {
            true => self.remove_attempt(id),
            false => self.remove_attempt_and_load(id, now),
        };
        let Some(row) = row else {
            return;
        };
        let outlier = &mut self.rows[row].outlier;
        let is_limit_reached = match failure {
            AttemptFailure::Refused => outlier.record_refusal(&self.options),
            AttemptFailure::Broken => outlier.record_failure(&self.options),
            AttemptFailure::Cancelled => false,
        };
        if is_limit_reached {
            self.try_eject(row, now);
        }
    }

    /// Removes an attempt and its load. Returns its row if that still holds the same instance.
    fn remove_attempt_and_load(&mut self, id: AttemptId, now: TimeUs) -> Option<usize> {
        let attempt = self.attempts.get(&id)?.clone();
        let row = self.remove_attempt(id)?;
        let record = &mut self.rows[row];
        let tokens = match attempt.has_first_token {
            true => 0,
            false => -to_signed(attempt.prefill_tokens),
        };
        record.sent_load.add(-1, tokens, now);
        if attempt.has_first_token {
            // The expected wait isn't counted as service time: estimates would grow with every
            // queue, and requests would be refused for deadlines that can be met.
            let elapsed = now.since(attempt.sent_at_us);
            record.record_service_time(elapsed.saturating_sub(attempt.expected_us));
        }
        Some(row)
    }

    /// Removes an attempt. Returns its row if that still holds the same instance.
    fn remove_attempt(&mut self, id: AttemptId) -> Option<usize> {
        let attempt = self.attempts.remove(&id)?;
        let record = &mut self.rows[attempt.row];
        if record.instance_number != attempt.instance_number {
            return None;
        }
        record.in_flight = record.in_flight.saturating_sub(1);
        Some(attempt.row)
    }
}

fn to_signed(tokens: TokenCount) -> i64 {
    i64::try_from(tokens.get()).unwrap_or(i64::MAX)
}
