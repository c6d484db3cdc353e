//! One endpoint: its state, its load and its cached parts.

use wisteriahitch_types::{DurationUs, EndpointInstance, ModelName, TimeUs, WeightNumber};

use super::backlog::{Load, LoadReport};
use super::cold_limit::ColdState;
use super::endpoint_pace::{EndpointPace, reported_factor};
use super::endpoint_statements::EndpointStatements;
use super::outlier::OutlierDetector;
use super::parts::{MAX_RETENTION_US, PartCache, estimated_retention};
use crate::site::Endpoint;

/// Whether an endpoint gets new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// The endpoint gets new requests.
    Ready,
    /// The endpoint is about to leave and gets no new requests.
    Draining,
    /// The registration is missing. The endpoint gets requests until this time, since the
    /// registration may only have lapsed in an outage of the store.
    Lapsed(TimeUs),
    /// The registration can't be read, so it is unknown what runs there. The endpoint gets no new
    /// requests until it can be read again; running ones continue.
    Unreadable,
}

/// One instance of an endpoint, and everything known or assumed about it.
///
/// A restart replaces the whole row, since its fields describe a process that has ended.
/// `docs/design/endpoint-lives.md` says for each field what that means.
#[derive(Debug)]
pub struct EndpointRow {
    /// The endpoint's registration.
    pub endpoint: Endpoint,
    /// Whether the endpoint gets new requests.
    pub state: EndpointState,
    /// Whether another endpoint has this one's address now, according to a later registration or an
    /// answer.
    ///
    /// After a crash the registration stays for seconds. Without this flag, calls are sent there
    /// again and again and refused as misdirected, while other endpoints are free.
    pub is_displaced: bool,
    /// Unfinished work that this daemon has sent.
    pub own_load: Load,
    /// Work that this daemon is about to send, while it waits for connections.
    pub unsent_load: Load,
    /// Unfinished work that the other daemons have sent, by their last reports.
    pub peers_load: Load,
    /// Load that the endpoint itself reported last, and when the report arrived.
    /// Boxed, because most endpoints report none and there are ten thousand.
    pub reported_load: Option<Box<(LoadReport, TimeUs)>>,
    /// How fast the endpoint works, compared to the others of its service.
    pub pace: EndpointPace,
    /// Failure rate and ejection.
    pub outlier: OutlierDetector,
    /// Prompt parts that the endpoint is believed to have cached.
    pub parts: PartCache,
    /// Until when `parts` follows the engine's own memory events, received by this daemon or a
    /// peer.
    pub parts_tracked_until_us: TimeUs,
    /// Until when this daemon's own failure to connect counts as evidence.
    pub unreachable_until_us: TimeUs,
    /// Until when the endpoint is suspected because several daemons reported directly to this one
    /// that they can't connect to it.
    pub corroborated_until_us: TimeUs,
    /// Until when the endpoint is suspected, by direct reports or because a hub reports that
    /// several daemons can't connect to it.
    pub suspected_until_us: TimeUs,
    /// Until when an order keeps the endpoint from taking requests.
    pub reserved_until_us: TimeUs,
    /// Cold period, and this daemon's permits during it.
    pub cold: ColdState,
    /// Limit, rest and other statements that the endpoint makes in its answers.
    pub statements: EndpointStatements,
    /// Hash that names this instance in messages between daemons.
    pub short_name: u32,
}

impl EndpointRow {
    /// Returns the endpoint's id and start.
    pub fn instance(&self) -> &EndpointInstance {
        &self.endpoint.instance
    }

    /// Returns the version of the weights that the endpoint has for a model.
    pub fn weights(&self, model: &ModelName) -> Option<WeightNumber> {
        self.endpoint.weights.get(model)
    }

    /// Returns whether the endpoint may get requests at all. One that has announced its leaving, or
    /// whose registration can't be read, gets none even if the service has no other endpoint.
    pub fn accepts_requests(&self) -> bool {
        matches!(self.state, EndpointState::Ready | EndpointState::Lapsed(_))
    }

    /// Returns whether the endpoint may get a request now. One whose registration is missing for too
    /// long stays in the table for a moment, and a call may have been placed there before.
    pub fn accepts_requests_at(&self, now: TimeUs) -> bool {
        match self.state {
            EndpointState::Lapsed(until_us) => now < until_us,
            _ => self.accepts_requests(),
        }
    }

    /// Returns the unfinished work that all daemons have sent, and what this one is about to send.
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.unsent_load);
        load.add(self.peers_load);
        load
    }

    /// Returns the factor of the time that work takes now, as the endpoint last reported it.
    pub fn reported_factor(&self, now: TimeUs) -> f64 {
        let reported = self.reported_load.as_deref().and_then(|(load, at)| {
            let percent = load.work_percent?;
            Some(reported_factor(percent, *at, now))
        });
        reported.unwrap_or(1.0)
    }

    /// Returns the factor of the time that work takes at this endpoint now, in multiples of what it
    /// takes at endpoints of its service.
    pub fn work_factor(&self, now: TimeUs) -> f64 {
        self.pace.lasting_factor(now) * self.reported_factor(now)
    }

    /// Returns the earliest last use of a part that is still expected to be cached. `duration_us`
    /// is how long a token stays in the endpoint's memory while its request runs.
    pub fn parts_kept_since(
        &self,
        memory_tokens: u64,
        duration_us: DurationUs,
        now: TimeUs,
    ) -> TimeUs {
        let retention_us = match self.parts_tracked_until_us > now {
            true => MAX_RETENTION_US,
            false => estimated_retention(memory_tokens, self.load().memory_tokens, duration_us),
        };
        TimeUs::new(now.get().saturating_sub(retention_us.get()))
    }
}
