//! What this daemon sends to endpoints, and how it ends.

use wisteriahitch_types::{DurationUs, EndpointId, TimeUs, TokenCount};

use super::{EndpointTable, Flight, FlightFailure, FlightId};

impl EndpointTable {
    /// Records an attempt that is sent now, and names it for the calls that follow.
    ///
    /// `prefill_tokens` are the prompt tokens that the endpoint is to compute, and `expected_us`
    /// is the estimate of the time to the first token. Returns nothing for an unknown endpoint.
    pub fn sent(
        &mut self,
        endpoint: &EndpointId,
        prefill_tokens: TokenCount,
        expected_us: DurationUs,
        now: TimeUs,
    ) -> Option<FlightId> {
        let row = *self.by_id.get(endpoint)?;
        let record = &mut self.rows[row];
        record.in_flight += 1;
        record.sent.add(1, signed(prefill_tokens), now);
        let id = FlightId(self.next_flight);
        self.next_flight += 1;
        let flight = Flight {
            row,
            life_number: record.life_number,
            sent_at_us: now,
            prefill_tokens,
            expected_us,
            has_first_token: false,
        };
        self.flights.insert(id, flight);
        Some(id)
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, id: FlightId, now: TimeUs) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.has_first_token {
            return;
        }
        flight.has_first_token = true;
        let record = &mut self.rows[flight.row];
        if record.life_number != flight.life_number {
            return;
        }
        record.sent.add(0, -signed(flight.prefill_tokens), now);
        let taken = now.since(flight.sent_at_us);
        record.outlier.first_token(taken, flight.expected_us);
    }

    /// Records the good end of an attempt.
    pub fn finished(&mut self, id: FlightId, now: TimeUs) {
        self.first_token(id, now);
        let Some(record_row) = self.land(id, now) else {
            return;
        };
        self.rows[record_row].outlier.succeeded();
    }

    /// Records the bad end of an attempt; the endpoint may be ejected by it.
    pub fn failed(&mut self, id: FlightId, failure: FlightFailure, now: TimeUs) {
        let Some(row) = self.land(id, now) else {
            return;
        };
        if failure != FlightFailure::Broken {
            return;
        }
        let is_too_many = self.rows[row].outlier.failed(&self.options);
        if is_too_many {
            self.try_eject(row, now);
        }
    }

    /// Removes a flight and returns its row, if that still holds the same life.
    fn land(&mut self, id: FlightId, now: TimeUs) -> Option<usize> {
        let flight = self.flights.remove(&id)?;
        let record = &mut self.rows[flight.row];
        if record.life_number != flight.life_number {
            return None;
        }
        record.in_flight = record.in_flight.saturating_sub(1);
        let tokens = match flight.has_first_token {
            true => 0,
            false => -signed(flight.prefill_tokens),
        };
        record.sent.add(-1, tokens, now);
        if flight.has_first_token {
            record.took(now.since(flight.sent_at_us));
        }
        Some(flight.row)
    }
}

fn signed(tokens: TokenCount) -> i64 {
    i64::try_from(tokens.get()).unwrap_or(i64::MAX)
}
