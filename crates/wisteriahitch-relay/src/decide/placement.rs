//! Chooses the endpoint at which a call runs.
//!
//! For each endpoint the time until the call's first event is estimated from the tokens that the
//! endpoint still has to read, the part of this prompt that it has not cached, and its free
//! capacity. The endpoint with the lowest cost is preferred. `docs/design/platform.md` gives the
//! reasons and the figures.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::{Rng, RngExt};
use wisteriahitch_types::{
    Code, DurationUs, EndpointInstance, SoftwareVersion, TimeUs, WeightNumber,
};

use super::endpoint_admission::{Admission, CallPermits, LimitCause};
use super::endpoint_row::{EndpointRow, EndpointState};
use super::endpoint_table::EndpointTable;
use super::engine_rates::{PaceLesson, ServicePace};
use super::overload::retry_after;
use super::part_sources::PartSources;
use super::part_stores::PartStores;
use super::placement_candidate::{MainFetch, PlacementCandidate, PreferredEngines, evaluate};
use super::placement_request::{EngineCall, EstimateBasis, PlacementRequest};
use crate::border::{ExcessQueue, Refusal};
use crate::site::PromptShape;

/// Cost difference, in milliseconds, below which candidates count as about equal in a small fleet;
/// one of them is sampled.
const MIN_SPREAD_MS: f64 = 2.0;
/// Cost difference per daemon in a large fleet, in milliseconds. The more daemons decide on the
/// same updates, and the older these are, the more daemons would choose the same endpoint before
/// they receive each other's updates.
const SPREAD_MS_PER_DAEMON: f64 = 0.35;
/// Maximum cost difference that counts as about equal, in milliseconds.
const MAX_SPREAD_MS: f64 = 40.0;
/// Multiple of the spread above the lowest cost beyond which candidates are not sampled.
const MAX_SPREAD_MULTIPLE: f64 = 4.0;
/// Retry time for the caller if no endpoint accepts requests.
const NO_ENDPOINT_RETRY_US: DurationUs = DurationUs::from_ms(400);
/// Retry time for the caller if brittle endpoints have no room: about the time of a call.
const NO_ROOM_RETRY_US: DurationUs = DurationUs::from_ms(200);
/// Retry time for the caller if all zones are evacuated: the time within which all daemons know
/// that an evacuation has ended.
const EVACUATED_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// The endpoint chosen for a call, and the estimates behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Endpoint instance for which the decision was made.
    pub endpoint: EndpointInstance,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Software version of the endpoint.
    pub software: SoftwareVersion,
    /// Whether the endpoint has announced its leaving, and takes the call only because it resumes a
    /// stream that no other endpoint may go on with.
    pub is_leaving: bool,
    /// Weights that the endpoint is expected to have; `None` if the call is for no model.
    pub weights: Option<WeightNumber>,
    /// Scope under which the endpoint caches parts.
    pub cache_scope: Option<String>,
    /// Prompt tokens that the endpoint probably has cached.
    pub cached_tokens: u64,
    /// Prompt tokens that it fetches from stores and other engines.
    pub fetched_tokens: u64,
    /// Source of each part of the prompt, where it can be fetched; empty if nothing is known.
    pub fetch_from: Vec<Option<SocketAddr>>,
    /// Whether one of these addresses is that of a store.
    pub fetches_from_stores: bool,
    /// Source of most of the fetched tokens, and the time that all fetches take.
    pub main_fetch: Option<MainFetch>,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// Estimated wait for the work of other calls.
    pub queue_us: DurationUs,
    /// Estimated time until the first event.
    pub expected_us: DurationUs,
    /// Number of endpoints that were compared.
    pub candidates: usize,
    /// Tokens that the call is expected to occupy in an engine's memory.
    pub memory_tokens: u64,
    /// What the time of the answer will say of the service's rates; `None` if nothing.
    pub lesson: Option<PaceLesson>,
    /// Permits that the call uses if the endpoint's call rate is limited.
    pub permits: CallPermits,
    /// Whether the endpoint was known to be brittle.
    pub is_brittle: bool,
}

/// Chooses an endpoint for a call.
///
/// # Errors
///
/// Refuses the call if no endpoint accepts requests, or if none would produce the first event in
/// time, so that the caller learns it at once instead of after its deadline.
pub fn place(
    table: &EndpointTable,
    stores: &PartStores,
    request: &PlacementRequest<'_>,
    now: TimeUs,
    rng: &mut impl Rng,
) -> Result<Placement, Refusal> {
    let rows = eligible_endpoints(table, request, now);
    let pace = match request.uses_learned_rates {
        true => table.rates.pace(request.service, request.engine),
        false => ServicePace::CONSTANT,
    };
    let call = EngineCall::new(request, stores, &pace, now);
    let call = call.as_ref();
    let basis = EstimateBasis {
        request,
        pace: &pace,
        now,
    };
    let sources = call.map_or_else(Vec::new, |call| part_sources(table, &rows, call, rng));
    let preferred = PreferredEngines::rank(&rows, call, spread_fraction(request.daemons));
    let evaluated: Vec<PlacementCandidate<'_>> = rows
        .iter()
        .map(|row| evaluate(row, call, &sources, &preferred, &basis))
        .collect();
    let lowest_cost = evaluated
        .iter()
        .map(|candidate| candidate.cost_ms)
        .min_by(f64::total_cmp);
    let Some(lowest_cost) = lowest_cost else {
        return Err(no_candidate_refusal(table, request, now, rng));
    };
    let chosen = match request.needs_isolation {
        true => fewest_running(&evaluated),
        false => sample_candidate(&evaluated, lowest_cost, spread_ms(request.daemons), rng),
    };
    let expected_us = DurationUs::from_secs_f64(chosen.wait_ms / 1_000.0);
    let queue_us = DurationUs::from_secs_f64(chosen.queue_ms / 1_000.0);
    let late_us = expected_us - request.max_first_event_us;
    let excess_us = late_us.max(queue_us - request.max_queue_us);
    if excess_us > DurationUs::ZERO {
        let queue = excess_queue(table, request, chosen, evaluated.len(), now);
        let refusal = Refusal::new(Code::DeadlineUnreachable).with_excess_queue(queue);
        return Err(refusal.retry_after(retry_after(excess_us, rng)));
    }
    let prompt_tokens = request
        .prompt
        .map_or(0, |prompt| prompt.prompt_tokens.get());
    let fetch_from = match (chosen.parts, call) {
        (Some(parts), Some(call)) => parts.source_addresses(chosen.row, call),
        _ => Vec::new(),
    };
    let fetches_from_stores = stores.has_any(fetch_from.iter().copied().flatten());
    Ok(Placement {
        endpoint: chosen.row.instance().clone(),
        address: chosen.row.endpoint.address,
        software: chosen.row.endpoint.software.clone(),
        is_leaving: chosen.row.state == EndpointState::Draining,
        weights: request.expected_weights(chosen.row, now),
        cache_scope: chosen.parts.map(|parts| parts.scope.clone()),
        cached_tokens: chosen.cached_tokens,
        fetched_tokens: chosen.fetched_tokens,
        fetch_from,
        fetches_from_stores,
        main_fetch: chosen.main_fetch,
        unread_tokens: prompt_tokens.saturating_sub(chosen.cached_tokens + chosen.fetched_tokens),
        queue_us,
        expected_us,
        candidates: evaluated.len(),
        memory_tokens: memory_tokens(request, call),
        lesson: chosen.lesson.filter(|_| teaches(request)),
        permits: match table.admission(chosen.row, now) {
            Admission::Permit(permits) => permits,
            _ => CallPermits::default(),
        },
        is_brittle: table.is_brittle(chosen.row),
    })
}

/// Describes the queue at the chosen endpoint of a call that would be answered too late.
fn excess_queue(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    chosen: &PlacementCandidate<'_>,
    candidates: usize,
    now: TimeUs,
) -> ExcessQueue {
    let endpoints = endpoints_taking_requests(table, request, now);
    ExcessQueue {
        queue_us: DurationUs::from_secs_f64(chosen.queue_ms / 1_000.0),
        bound_us: request.max_queue_us,
        own_running: chosen.row.own_load.running,
        peers_running: chosen.row.peers_load.running,
        candidates,
        suspected: endpoints.filter(|row| row.suspected_until_us > now).count(),
    }
}

/// Returns how many tokens the call is expected to occupy in an engine's memory.
fn memory_tokens(request: &PlacementRequest<'_>, call: Option<&EngineCall<'_>>) -> u64 {
    let of_prompt = || request.prompt.map_or(0, PromptShape::memory_tokens);
    call.map_or_else(of_prompt, |call| call.memory_tokens)
}

/// Returns whether the answer to a call may say something of the service's rates. The first event of
/// a stream that is resumed may have been written before, and after a failed attempt the load isn't
/// as usual.
fn teaches(request: &PlacementRequest<'_>) -> bool {
    let is_resumed = request.required_weights.is_some() || request.required_software.is_some();
    request.uses_learned_rates && !is_resumed && request.excluded.is_empty()
}

/// Returns the refusal for a call that has no eligible endpoint, with the reason and the retry
/// time.
fn no_candidate_refusal(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
    rng: &mut impl Rng,
) -> Refusal {
    let rows: Vec<&EndpointRow> = endpoints_taking_requests(table, request, now).collect();
    if rows.is_empty() && request.required_software.is_some() {
        return Refusal::new(Code::SoftwareUnavailable);
    }
    let is_allowed = |row: &&&EndpointRow| request.allowed_zones.contains(&row.endpoint.zone);
    let allowed: Vec<&EndpointRow> = rows.iter().filter(is_allowed).copied().collect();
    if !rows.is_empty() && allowed.is_empty() {
        return Refusal::new(Code::RegionUnavailable).retry_after(NO_ENDPOINT_RETRY_US);
    }
    let untried: Vec<&EndpointRow> = allowed
        .into_iter()
        .filter(|row| !request.excluded.contains(row.instance()))
        .collect();
    let admissions = untried.iter().map(|row| table.admission(row, now));
    let admissions: Vec<Admission> = admissions.collect();
    let limited = admissions.iter().filter_map(|admission| match admission {
        Admission::Limited(cause, free_at) => Some((*free_at, *cause)),
        _ => None,
    });
    if let Some((free_at, cause)) = limited.min_by_key(|(free_at, _)| *free_at) {
        let refusal = Refusal::new(match cause {
            LimitCause::Cold => Code::EndpointsCold,
            LimitCause::Named | LimitCause::Resting => Code::EndpointsLimited,
        });
        return refusal.retry_after(retry_after(free_at.since(now), rng));
    }
    // Those that were tried for this call had no room a moment ago.
    let may_be_full = |row: &&EndpointRow| table.is_brittle(row) && !table.is_evacuated(row);
    if rows.iter().any(may_be_full) {
        let refusal = Refusal::new(Code::EndpointsLimited);
        return refusal.retry_after(retry_after(NO_ROOM_RETRY_US, rng));
    }
    let is_evacuated = |admission: &Admission| *admission == Admission::Evacuated;
    if !admissions.is_empty() && admissions.iter().all(is_evacuated) {
        return Refusal::new(Code::ZonesEvacuated).retry_after(EVACUATED_RETRY_US);
    }
    let code = match request.required_software {
        Some(_) => Code::SoftwareUnavailable,
        None => Code::NoEndpoint,
    };
    Refusal::new(code).retry_after(NO_ENDPOINT_RETRY_US)
}

/// Returns the width of the sampling spread, from 0 at its minimum to 1 at its maximum.
fn spread_fraction(daemons: usize) -> f64 {
    (spread_ms(daemons) - MIN_SPREAD_MS) / (MAX_SPREAD_MS - MIN_SPREAD_MS)
}

fn spread_ms(daemons: usize) -> f64 {
    (daemons as f64 * SPREAD_MS_PER_DAEMON).clamp(MIN_SPREAD_MS, MAX_SPREAD_MS)
}

/// Samples one of the candidates whose cost is close to `lowest_cost`, with exponentially
/// decreasing weight.
///
/// Load pattern: many daemons have the same updates, some hundred milliseconds old. If all chose
/// the cheapest endpoint, it would get a hundred requests before any daemon received an update, and
/// would refuse what exceeds its queue. The symptom is refusals of single endpoints while others
/// are idle.
fn sample_candidate<'a, 'b>(
    evaluated: &'a [PlacementCandidate<'b>],
    lowest_cost: f64,
    spread_ms: f64,
    rng: &mut impl Rng,
) -> &'a PlacementCandidate<'b> {
    let weight = |candidate: &PlacementCandidate<'_>| {
        let spreads = (candidate.cost_ms - lowest_cost) / spread_ms;
        if spreads > MAX_SPREAD_MULTIPLE {
            0.0
        } else {
            (-spreads).exp()
        }
    };
    let total: f64 = evaluated.iter().map(weight).sum();
    let mut remaining = rng.random_range(0.0..total.max(f64::MIN_POSITIVE));
    for candidate in evaluated {
        let weight = weight(candidate);
        if weight > 0.0 && remaining < weight {
            return candidate;
        }
        remaining -= weight;
    }
    // Reached only through rounding; the cheapest candidate is as good as any.
    let by_cost =
        |a: &&PlacementCandidate<'_>, b: &&PlacementCandidate<'_>| a.cost_ms.total_cmp(&b.cost_ms);
    evaluated.iter().min_by(by_cost).unwrap_or(&evaluated[0])
}

/// Returns the candidate with the fewest running requests, and among equals the one with the lowest
/// cost.
///
/// The call is suspected of crashing endpoints, and every request that runs at the endpoint would
/// be lost with it.
fn fewest_running<'a, 'b>(evaluated: &'a [PlacementCandidate<'b>]) -> &'a PlacementCandidate<'b> {
    let running = |candidate: &PlacementCandidate<'_>| candidate.row.load().running;
    let by_running = |a: &&PlacementCandidate<'_>, b: &&PlacementCandidate<'_>| {
        let by_cost = || a.cost_ms.total_cmp(&b.cost_ms);
        running(a).cmp(&running(b)).then_with(by_cost)
    };
    evaluated.iter().min_by(by_running).unwrap_or(&evaluated[0])
}

/// Returns the endpoints that may get the call.
///
/// Endpoints that are ejected, suspected or reserved for an order are left out as long as there are
/// others: an ejection is a suspicion, and a service whose endpoints are all suspected still has to
/// be tried.
fn eligible_endpoints<'a>(
    table: &'a EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
) -> Vec<&'a EndpointRow> {
    let usable_endpoints = usable_endpoints(table, request, now);
    let is_free = |row: &&EndpointRow| row.reserved_until_us <= now;
    let is_trusted =
        |row: &&EndpointRow| !row.outlier.is_ejected(now) && row.suspected_until_us <= now;
    let is_ready = |row: &&EndpointRow| row.state == EndpointState::Ready && !row.is_displaced;
    let best: Vec<&EndpointRow> = usable_endpoints
        .iter()
        .copied()
        .filter(|row| is_free(row) && is_trusted(row) && is_ready(row))
        .collect();
    if !best.is_empty() {
        return best;
    }
    let free: Vec<&EndpointRow> = usable_endpoints.iter().copied().filter(is_free).collect();
    match free.is_empty() {
        true => usable_endpoints,
        false => free,
    }
}

/// Returns the endpoints of the call's service that accept requests at all and have the software
/// version that it requires.
fn endpoints_taking_requests<'a>(
    table: &'a EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
) -> impl Iterator<Item = &'a EndpointRow> {
    endpoints_of_call(table, request).filter(move |row| row.accepts_requests_at(now))
}

/// Returns the endpoints of the call's service that have the software version that it requires.
fn endpoints_of_call<'a>(
    table: &'a EndpointTable,
    request: &PlacementRequest<'_>,
) -> impl Iterator<Item = &'a EndpointRow> {
    let service = request.service.clone();
    let software = request.required_software.cloned();
    table.iter().filter(move |row| {
        let required = software.as_ref();
        row.endpoint.service == service
            && required.is_none_or(|required| *required == row.endpoint.software)
    })
}

/// Returns the endpoints that have software and weights which the call may use.
///
/// A stream that is resumed may go to an endpoint that is about to leave if there is no other with
/// its software version: in a release, the last endpoints of a version leave together.
fn usable_endpoints<'a>(
    table: &'a EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
) -> Vec<&'a EndpointRow> {
    let staying = endpoints_taking_requests(table, request, now);
    let usable = usable_of(staying, table, request, now);
    if !usable.is_empty() || request.required_software.is_none() {
        return usable;
    }
    let leaving = endpoints_of_call(table, request).filter(|row| table.accepts_resumed(row, now));
    usable_of(leaving, table, request, now)
}

/// Returns those of `rows` that have room and weights which the call may use.
///
/// If none is known to, all endpoints that may have loaded the wanted weights since are tried.
/// Their known weights may be outdated: another daemon had them load new weights, and the
/// platform's store was unavailable before they could register again. If they were left out, they
/// would never be called, nothing new would be learned, and every call would be refused for as long
/// as the outage lasts. An endpoint that does have old weights refuses the call without running it.
fn usable_of<'a>(
    rows: impl Iterator<Item = &'a EndpointRow>,
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
) -> Vec<&'a EndpointRow> {
    let (matching, others): (Vec<&EndpointRow>, Vec<&EndpointRow>) = rows
        .filter(|row| !request.excluded.contains(row.instance()))
        .filter(|row| request.allowed_zones.contains(&row.endpoint.zone))
        .filter(|row| table.admission(row, now).is_open() && table.may_have_room(row, now))
        .partition(|row| has_expected_weights(row, request, now));
    if !matching.is_empty() {
        return matching;
    }
    let may_have_wanted = |row: &&EndpointRow| {
        let assumed = request.expected_weights(row, now);
        assumed.is_some() && request.required_weights.is_none_or(|r| Some(r) == assumed)
    };
    others.into_iter().filter(may_have_wanted).collect()
}

fn has_expected_weights(row: &EndpointRow, request: &PlacementRequest<'_>, now: TimeUs) -> bool {
    let Some(prompt) = request.prompt else {
        return true;
    };
    let known = row.weights(&prompt.model);
    let is_required = request.required_weights.is_none_or(|r| Some(r) == known);
    known.is_some() && is_required && known == request.expected_weights(row, now)
}

/// Looks up the prompt's parts once for each version of the weights that candidates have, which is
/// mostly a single one.
fn part_sources<'a>(
    table: &'a EndpointTable,
    rows: &[&EndpointRow],
    call: &EngineCall<'_>,
    rng: &mut impl Rng,
) -> Vec<PartSources<'a>> {
    let versions: BTreeSet<WeightNumber> = rows
        .iter()
        .filter_map(|row| call.request.expected_weights(row, call.now))
        .collect();
    versions
        .into_iter()
        .map(|weights| PartSources::find(table, call, weights, rng))
        .collect()
}
