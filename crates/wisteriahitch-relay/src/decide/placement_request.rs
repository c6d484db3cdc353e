//! What a placement is for, and what its estimates rest on.

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, ServiceName, TimeUs, WeightNumber, WorkspaceId,
};

use super::endpoint_row::EndpointRow;
use super::part_stores::PartStores;
use super::wanted_weights::WantedVersions;
use crate::site::{AllowedZones, EngineSpec, PromptShape};

/// Prompt tokens that an engine reads in a millisecond while it also answers others. Engines of
/// the deployments read 61 when they do nothing else.
pub(super) const READ_TOKENS_PER_MS: f64 = 50.0;

/// What reading a shared part again costs beyond its time, in milliseconds a token: the work was done
/// before, and while it is done again the ten or so other calls of the engine wait for it. Ten times
/// the time of reading. Of 0.03, 0.1, 0.2 and 0.4 the last three are worth the same, within 0.02 of
/// the mean worth of six loads, and 0.03 to 0.06 more than the first at two of three deployments.
pub(super) const REREAD_MS_PER_TOKEN: f64 = 0.2;

/// What a placement is for.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// What its engines are, if it has engines.
    pub engine: Option<&'a EngineSpec>,
    /// Prompt, if the call carries one.
    pub prompt: Option<&'a PromptShape>,
    /// Workspace, where it shares cached parts with nobody.
    pub wall: Option<&'a WorkspaceId>,
    /// Availability zone of this daemon.
    pub zone: &'a AvailabilityZone,
    /// Daemons of the fleet.
    pub daemons: usize,
    /// How long a call of the service lasts once it has begun, as seen lately.
    pub duration_us: DurationUs,
    /// How long a token of the service stays in an engine's memory.
    pub memory_duration_us: DurationUs,
    /// Time within which a first event is of any use.
    pub patience_us: DurationUs,
    /// Longest wait for the work of others.
    pub longest_queue_us: DurationUs,
    /// Zones in which it may run.
    pub allowed_zones: &'a AllowedZones,
    /// Endpoints that won't do.
    pub excluded: &'a [EndpointInstance],
    /// Whether endpoints have crashed under the call, so that it is to go where little is lost with it.
    pub is_isolated: bool,
    /// Weights that the call must run on, as a stream that goes on does.
    pub required_weights: Option<WeightNumber>,
    /// Weights that the model is to run.
    pub wanted_weights: Option<&'a WantedVersions>,
}

impl PlacementRequest<'_> {
    /// Returns the weights that a call at this endpoint would expect: those that it is known to
    /// have, or the wanted ones where the known ones may no longer be used.
    pub(super) fn weights_of(&self, row: &EndpointRow, now: TimeUs) -> Option<WeightNumber> {
        let has = row.weights(&self.prompt?.model)?;
        let Some(wanted) = self.wanted_weights else {
            return Some(has);
        };
        match wanted.may_begin(has, now) {
            true => Some(has),
            false => wanted.newest(),
        }
    }
}

/// A call for model engines, with all that its estimates rest on.
pub(super) struct EngineCall<'a> {
    pub(super) request: &'a PlacementRequest<'a>,
    pub(super) prompt: &'a PromptShape,
    pub(super) engine: &'a EngineSpec,
    pub(super) stores: &'a PartStores,
    pub(super) now: TimeUs,
    /// Ranks endpoints for the prompt.
    pub(super) affinity: Option<Rendezvous>,
}

impl<'a> EngineCall<'a> {
    /// Gathers it; nothing where the call has no prompt or its service no engines.
    pub(super) fn new(
        request: &'a PlacementRequest<'a>,
        stores: &'a PartStores,
        now: TimeUs,
    ) -> Option<Self> {
        let prompt = request.prompt?;
        Some(Self {
            request,
            prompt,
            engine: request.engine?,
            stores,
            now,
            affinity: affinity(prompt),
        })
    }

    /// Returns since when a part must have been used to be still at an engine.
    pub(super) fn parts_kept_since(&self, row: &EndpointRow) -> TimeUs {
        let memory_tokens = self.engine.memory_tokens.get();
        row.parts_kept_since(memory_tokens, self.request.memory_duration_us, self.now)
    }

    pub(super) fn replaced_at(&self, weights: WeightNumber) -> Option<TimeUs> {
        self.request.wanted_weights?.replaced_at(weights)
    }
}

/// Returns what ranks endpoints for a prompt: its last part that others share.
fn affinity(prompt: &PromptShape) -> Option<Rendezvous> {
    let parts = &prompt.parts;
    let shared = parts
        .len()
        .checked_sub(2)
        .and_then(|index| parts.get(index));
    let part = shared.or(parts.first())?;
    Some(Rendezvous::new("prompt", &part.id.to_string()))
}
