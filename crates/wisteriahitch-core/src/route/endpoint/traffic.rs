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
        let Some(row) = self.land_and_unload(id, now) else {
            return;
        };
        self.rows[row].outlier.succeeded();
    }

    /// Records the bad end of an attempt; the endpoint may be ejected by it.
    ///
    /// What was refused stays counted as load until the next report is made. An endpoint that
    /// refuses at once while its report says that it is idle would otherwise look best to every
    /// request and draw them all; one would notice by refusals while other endpoints have room.
    pub fn failed(&mut self, id: FlightId, failure: FlightFailure, now: TimeUs) {
        let is_refused = failure == FlightFailure::Refused;
        let row = match is_refused {
            true => self.land(id),
            false => self.land_and_unload(id, now),
        };
        let Some(row) = row else {
            return;
        };
        let outlier = &mut self.rows[row].outlier;
        let is_too_many = match failure {
            FlightFailure::Refused => outlier.refused(&self.options),
            FlightFailure::Broken => outlier.failed(&self.options),
            FlightFailure::Cancelled => false,
        };
        if is_too_many {
            self.try_eject(row, now);
        }
    }

    /// Removes a flight with its load and returns its row, if that still holds the same life.
    fn land_and_unload(&mut self, id: FlightId, now: TimeUs) -> Option<usize> {
        let flight = self.flights.get(&id)?.clone();
        let row = self.land(id)?;
        let record = &mut self.rows[row];
        let tokens = match flight.has_first_token {
            true => 0,
            false => -signed(flight.prefill_tokens),
        };
        record.sent.add(-1, tokens, now);
        if flight.has_first_token {
            // The expected wait isn't learned as work: estimates would grow with every queue,
            // which one would notice by refusals for deadlines that could be met.
            let span = now.since(flight.sent_at_us);
            record.took(span.saturating_sub(flight.expected_us));
        }
        Some(row)
    }

    /// Removes a flight and returns its row, if that still holds the same life.
    fn land(&mut self, id: FlightId) -> Option<usize> {
        let flight = self.flights.remove(&id)?;
        let record = &mut self.rows[flight.row];
        if record.life_number != flight.life_number {
            return None;
        }
        record.in_flight = record.in_flight.saturating_sub(1);
        Some(flight.row)
    }
}

fn signed(tokens: TokenCount) -> i64 {
    i64::try_from(tokens.get()).unwrap_or(i64::MAX)
}
