//! One endpoint: its life, its load and what it keeps.

use wisteriahitch_types::{DurationUs, EndpointInstance, ModelName, TimeUs, WeightNumber};

use super::backlog::{Load, LoadReport};
use super::cold_limit::ColdState;
use super::endpoint_statements::EndpointStatements;
use super::outlier::OutlierDetector;
use super::parts::{MAX_KEPT_US, PartCache, kept_for};
use crate::site::Endpoint;

/// Says whether an endpoint gets new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
    /// Its registration lapsed in an outage of the store; it does until this time.
    Lapsed(TimeUs),
    /// Its registration can't be read, so that nobody knows what is there. It gets none until its
    /// registration can be read again; what it runs goes on.
    Unreadable,
}

/// One life of an endpoint, with all that is believed of it.
///
/// A restart replaces the whole row: what a field holds was learnt of a process that is gone.
/// `docs/design/endpoint-lives.md` says for each field what that means.
#[derive(Debug)]
pub struct EndpointRow {
    /// What it registered.
    pub endpoint: Endpoint,
    /// Life.
    pub state: EndpointState,
    /// Whether another endpoint has its address now, as that one has registered or an answer shows.
    ///
    /// Its registration stays for seconds after a crash. One would notice by calls that are sent there
    /// again and again and refused as meant for somebody else, while other endpoints are free.
    pub is_displaced: bool,
    /// Work sent by this daemon.
    pub own_load: Load,
    /// Work sent by the other daemons, as they told last.
    pub peers_load: Load,
    /// Load that it told itself, and when.
    pub reported_load: Option<(LoadReport, TimeUs)>,
    /// Failures.
    pub outlier: OutlierDetector,
    /// Parts of prompts that it is believed to keep.
    pub parts: PartCache,
    /// Until when `parts` follows what the engine itself tells of its memory.
    pub parts_tracked_until_us: TimeUs,
    /// Until when this daemon's own failure to connect counts as evidence.
    pub unreachable_until_us: TimeUs,
    /// Until when several daemons say to this one that it can't be reached.
    pub corroborated_until_us: TimeUs,
    /// The same, or a hub says so that has heard it from several.
    pub suspected_until_us: TimeUs,
    /// Until when an order keeps it from taking requests.
    pub reserved_until_us: TimeUs,
    /// Until when it bears few calls, and this daemon's part of them.
    pub cold: ColdState,
    /// What it says of itself in its answers.
    pub statements: EndpointStatements,
    /// Short name under which daemons tell each other of this life.
    pub short_name: u32,
}

impl EndpointRow {
    /// Returns which life of which endpoint it is.
    pub fn instance(&self) -> &EndpointInstance {
        &self.endpoint.instance
    }

    /// Returns the weights that it has for a model.
    pub fn weights(&self, model: &ModelName) -> Option<WeightNumber> {
        self.endpoint.weights.get(model).copied()
    }

    /// Returns whether it may get requests at all. One that has said that it leaves, or whose
    /// registration can't be read, gets none even where there is no other.
    pub fn accepts_requests(&self) -> bool {
        matches!(self.state, EndpointState::Ready | EndpointState::Lapsed(_))
    }

    /// Returns all work that is known to be sent to it.
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peers_load);
        load
    }

    /// Returns since when a part must have been used to be still there, if a token stays in the
    /// endpoint's memory for `duration_us` while its request runs.
    pub fn parts_kept_since(
        &self,
        memory_tokens: u64,
        duration_us: DurationUs,
        now: TimeUs,
    ) -> TimeUs {
        let retention_us = match self.parts_tracked_until_us > now {
            true => MAX_KEPT_US,
            false => kept_for(memory_tokens, self.load().memory_tokens, duration_us),
        };
        TimeUs::new(now.get().saturating_sub(retention_us.get()))
    }
}
