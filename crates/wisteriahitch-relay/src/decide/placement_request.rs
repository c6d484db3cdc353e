//! Inputs of a placement decision.

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, ServiceName, SoftwareVersion, TimeUs,
    WeightNumber, WorkspaceId,
};

use super::endpoint_row::EndpointRow;
use super::engine_rates::ServicePace;
use super::part_stores::PartStores;
use super::wanted_weights::{WantedFreshness, WantedVersions};
use crate::site::{AllowedZones, EngineSpec, PromptShape};

/// Prompt tokens that an engine reads per millisecond while it also serves other calls. Engines of
/// the known deployments read 61 when they do nothing else.
pub(super) const READ_TOKENS_PER_MS: f64 = 50.0;

/// Cost of reading a shared part again, in milliseconds per token, beyond the time of reading. The
/// work was done before, and while it is repeated the ten or so other calls of the engine wait. It
/// is ten times the reading time. Of the values 0.03, 0.1, 0.2 and 0.4 the last three are worth the
/// same, within 0.02 of the mean worth of six loads, and 0.03 to 0.06 more than the first at two of
/// three deployments.
pub(super) const REREAD_MS_PER_TOKEN: f64 = 0.2;

/// A call to be placed, and the limits that apply to it.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the call is for.
    pub service: &'a ServiceName,
    /// Properties of the service's engines, if it has engines.
    pub engine: Option<&'a EngineSpec>,
    /// Prompt, if the call carries one.
    pub prompt: Option<&'a PromptShape>,
    /// Workspace of the call, if it is isolated and shares cached parts with no other.
    pub isolated_workspace: Option<&'a WorkspaceId>,
    /// Availability zone of this daemon.
    pub zone: &'a AvailabilityZone,
    /// Number of daemons in the fleet.
    pub daemons: usize,
    /// Recent mean duration of the service's calls, from the start of execution.
    pub duration_us: DurationUs,
    /// Recent mean time for which a token of the service stays in an engine's memory.
    pub memory_duration_us: DurationUs,
    /// Maximum time until the first event; a later one is of no use to the caller.
    pub max_first_event_us: DurationUs,
    /// Maximum wait for the work of other calls.
    pub max_queue_us: DurationUs,
    /// Whether estimates follow from learned rates and hinted lengths, rather than from constants.
    pub uses_learned_rates: bool,
    /// Availability zones in which the call may run.
    pub allowed_zones: &'a AllowedZones,
    /// Endpoint instances that must not be chosen, since they were already tried.
    pub excluded: &'a [EndpointInstance],
    /// Whether endpoints have crashed under the call, so that it is sent to the endpoint with the
    /// fewest running requests.
    pub needs_isolation: bool,
    /// Weights on which the call must run, as for a stream that is resumed.
    pub required_weights: Option<WeightNumber>,
    /// Software version at which the call must run, as for a stream that is resumed. What two
    /// versions write doesn't fit together, and endpoints don't check this.
    pub required_software: Option<&'a SoftwareVersion>,
    /// Versions of the weights that the model is to run, if known.
    pub wanted_weights: Option<&'a WantedVersions>,
    /// How fresh that is.
    pub wanted_freshness: WantedFreshness,
}

impl PlacementRequest<'_> {
    /// Returns the weights that a call at this endpoint would expect: the known ones, or the newest
    /// wanted ones if the known ones may no longer be used.
    pub(super) fn expected_weights(&self, row: &EndpointRow, now: TimeUs) -> Option<WeightNumber> {
        let known = row.weights(&self.prompt?.model)?;
        let Some(wanted) = self.wanted_weights else {
            return Some(known);
        };
        match wanted.may_dispatch(known, now) {
            true => Some(known),
            false => wanted.newest(),
        }
    }
}

/// What the estimates of a call at all endpoints depend on.
pub(super) struct EstimateBasis<'a> {
    pub(super) request: &'a PlacementRequest<'a>,
    pub(super) pace: &'a ServicePace,
    pub(super) now: TimeUs,
}

/// A call to a model engine with everything that its estimates depend on.
pub(super) struct EngineCall<'a> {
    pub(super) request: &'a PlacementRequest<'a>,
    pub(super) prompt: &'a PromptShape,
    pub(super) engine: &'a EngineSpec,
    pub(super) stores: &'a PartStores,
    pub(super) now: TimeUs,
    /// Tokens that the call is expected to occupy in an engine's memory.
    pub(super) memory_tokens: u64,
    /// Ranks the endpoints for the prompt.
    pub(super) affinity: Option<Rendezvous>,
}

impl<'a> EngineCall<'a> {
    /// Collects the inputs; `None` if the call has no prompt or its service no engines.
    pub(super) fn new(
        request: &'a PlacementRequest<'a>,
        stores: &'a PartStores,
        pace: &ServicePace,
        now: TimeUs,
    ) -> Option<Self> {
        let prompt = request.prompt?;
        let max_tokens = prompt.output_tokens.get();
        let hinted = prompt.hinted_output_tokens;
        let output_tokens = match hinted.filter(|_| request.uses_learned_rates) {
            Some(hinted) => pace.hints.expected_tokens(hinted.get(), max_tokens),
            None => max_tokens,
        };
        Some(Self {
            request,
            prompt,
            engine: request.engine?,
            stores,
            now,
            memory_tokens: prompt.prompt_tokens.get().saturating_add(output_tokens),
            affinity: affinity(prompt),
        })
    }

    /// Returns the earliest last use of a part for which the endpoint probably still has it cached.
    pub(super) fn min_part_use_at(&self, row: &EndpointRow) -> TimeUs {
        let memory_tokens = self.engine.memory_tokens.get();
        row.parts_kept_since(memory_tokens, self.request.memory_duration_us, self.now)
    }

    /// Returns whether parts of these weights may be fetched from stores.
    pub(super) fn may_fetch_from_stores(&self, weights: WeightNumber) -> bool {
        let request = self.request;
        let freshness = request.wanted_freshness;
        let until = freshness.fetch_until(request.wanted_weights, weights);
        until.is_some_and(|until| self.now < until)
    }

    pub(super) fn replaced_at(&self, weights: WeightNumber) -> Option<TimeUs> {
        self.request.wanted_weights?.replaced_at(weights)
    }
}

/// Returns the rank of endpoints for a prompt, by the last part that it shares with other prompts.
fn affinity(prompt: &PromptShape) -> Option<Rendezvous> {
    let parts = &prompt.parts;
    let shared = parts
        .len()
        .checked_sub(2)
        .and_then(|index| parts.get(index));
    let part = shared.or(parts.first())?;
    Some(Rendezvous::new("prompt", &part.id.to_string()))
}
