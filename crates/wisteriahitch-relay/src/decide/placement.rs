//! Where a call runs.
//!
//! For each endpoint the time until its first event is estimated: what it still has to read, what
//! of this prompt it doesn't keep, how full it is. The least one is taken.
//! `docs/design/platform.md` gives the reasons and the figures.

use rand::{Rng, RngExt};
use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{
    AvailabilityZone, Code, DurationUs, EndpointId, ServiceName, TimeUs, WeightNumber, WorkspaceId,
};

use super::endpoint_table::{EndpointLife, EndpointRow, EndpointTable};
use super::overload::retry_after;
use super::part_stores::PartStores;
use super::parts::{PartKey, part_keys};
use super::wanted_weights::WantedVersions;
use crate::border::Refusal;
use crate::site::{EngineTraits, PromptShape};

/// Prompt tokens that an engine reads in a millisecond while it also answers others. Engines of
/// the deployments read 61 when they do nothing else.
const READ_TOKENS_PER_MS: f64 = 50.0;
/// What reading a shared part again costs beyond its time, in milliseconds a token: the work was
/// done before, and every engine that reads it again is busy with it for others too.
const REREAD_MS_PER_TOKEN: f64 = 0.03;
/// What each running request adds to the first event of another one, in milliseconds: it lengthens
/// every step of the batch a little.
const RUNNING_MS: f64 = 0.4;
/// Cost of an endpoint in another availability zone, in milliseconds: the way there and back, and
/// what the bytes between zones cost.
const OTHER_ZONE_MS: f64 = 12.0;
/// Cost of weights that are about to be replaced, in milliseconds, from [`OLD_WEIGHTS_AFTER_US`] on.
const OLD_WEIGHTS_MS: f64 = 150.0;
/// How long weights that are no longer wanted are as good as the wanted ones.
const OLD_WEIGHTS_AFTER_US: DurationUs = DurationUs::from_ms(900);
/// How long after newer ones were named weights may be used at all. The platform allows eight
/// seconds; the rest is for the news to come and for a request that waits at its endpoint.
const OLD_WEIGHTS_UNTIL_US: DurationUs = DurationUs::from_ms(6_000);
/// Milliseconds that a call of a service without an engine takes, as long as nothing better is known.
const PLAIN_CALL_MS: f64 = 40.0;
/// Milliseconds by which endpoints count as about equal in a small fleet; one of them is drawn.
const MIN_SPREAD_MS: f64 = 2.0;
/// The same for each daemon of a large fleet: the more daemons choose by the same news, and the
/// older it is, the more of them would send to the same endpoint before they hear of each other.
const SPREAD_MS_PER_DAEMON: f64 = 0.35;
/// Most that it grows to.
const MAX_SPREAD_MS: f64 = 40.0;
/// Endpoints that cost so many times the spread more than the least one aren't drawn.
const MAX_SPREADS: f64 = 4.0;
/// Head start, in milliseconds, of the endpoint that the prompt's hash ranks first. It lets daemons
/// that haven't heard of each other's requests send equal prompts to the same endpoint.
const AFFINITY_MS: f64 = 6.0;
/// How long a told load counts.
const TOLD_LIFE_US: DurationUs = DurationUs::from_ms(300);
/// When a caller may come back where no endpoint takes requests.
const NO_ENDPOINT_RETRY_US: DurationUs = DurationUs::from_ms(400);

/// What a placement is for.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// What its engines are, if it has engines.
    pub engine: Option<&'a EngineTraits>,
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
    /// Endpoints that won't do.
    pub excluded: &'a [EndpointId],
    /// Weights that the call must run on, as a stream that goes on does.
    pub required_weights: Option<WeightNumber>,
    /// Weights that the model is to run.
    pub wanted_weights: Option<&'a WantedVersions>,
}

/// Where a call runs, and what that was decided by.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Availability zone that it is in.
    pub zone: AvailabilityZone,
    /// Weights that it has.
    pub weights: Option<WeightNumber>,
    /// Text under which it keeps parts.
    pub cache_scope: Option<String>,
    /// Prompt tokens that it is believed to keep.
    pub cached_tokens: u64,
    /// Prompt tokens that it fetches from stores.
    pub fetched_tokens: u64,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// Estimated time until the first event.
    pub expected_us: DurationUs,
    /// Endpoints that were compared.
    pub candidates: usize,
}

struct Offer<'a> {
    row: &'a EndpointRow,
    weights: Option<WeightNumber>,
    scope: Option<String>,
    cached_tokens: u64,
    fetched_tokens: u64,
    /// Wait for the work of others.
    queue_ms: f64,
    /// Wait for the first event.
    wait_ms: f64,
    cost_ms: f64,
}

/// Chooses an endpoint.
///
/// # Errors
///
/// Refuses where no endpoint takes requests, or where none would give a first event in time: such
/// a call is told so at once instead of waiting until its deadline has passed.
pub fn place(
    table: &EndpointTable,
    stores: &PartStores,
    request: &PlacementRequest<'_>,
    now: TimeUs,
    rng: &mut impl Rng,
) -> Result<Placement, Refusal> {
    let rows = candidates(table, request, now);
    let affinity = affinity(request);
    let offers: Vec<Offer<'_>> = rows
        .iter()
        .map(|row| offer(row, stores, request, affinity.as_ref(), now))
        .collect();
    let least = offers
        .iter()
        .map(|offer| offer.cost_ms)
        .min_by(f64::total_cmp);
    let Some(least) = least else {
        return Err(Refusal::new(Code::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_US));
    };
    let chosen = draw(&offers, least, spread_ms(request.daemons), rng);
    let expected_us = DurationUs::from_secs_f64(chosen.wait_ms / 1_000.0);
    let queue_us = DurationUs::from_secs_f64(chosen.queue_ms / 1_000.0);
    let late_us = expected_us - request.patience_us;
    let excess_us = late_us.max(queue_us - request.longest_queue_us);
    if excess_us > DurationUs::ZERO {
        let refusal = Refusal::new(Code::DeadlineUnreachable);
        let refusal = refusal.by_queue(queue_us, request.longest_queue_us);
        return Err(refusal.retry_after(retry_after(excess_us, rng)));
    }
    let prompt_tokens = request
        .prompt
        .map_or(0, |prompt| prompt.prompt_tokens.get());
    Ok(Placement {
        endpoint: chosen.row.endpoint.id.clone(),
        address: chosen.row.endpoint.address,
        zone: chosen.row.endpoint.zone.clone(),
        weights: chosen.weights,
        cache_scope: chosen.scope.clone(),
        cached_tokens: chosen.cached_tokens,
        fetched_tokens: chosen.fetched_tokens,
        unread_tokens: prompt_tokens.saturating_sub(chosen.cached_tokens + chosen.fetched_tokens),
        expected_us,
        candidates: offers.len(),
    })
}

fn spread_ms(daemons: usize) -> f64 {
    (daemons as f64 * SPREAD_MS_PER_DAEMON).clamp(MIN_SPREAD_MS, MAX_SPREAD_MS)
}

/// Draws one of the offers that are about as good as the least one, the better the likelier.
///
/// Load pattern: many daemons with the same news, some hundred milliseconds old. Taken by all, the
/// least one gets a hundred requests before anybody hears of them, and refuses what its queue can't
/// hold; one would notice by refusals of single endpoints while others are idle.
fn draw<'a, 'b>(
    offers: &'a [Offer<'b>],
    least: f64,
    spread_ms: f64,
    rng: &mut impl Rng,
) -> &'a Offer<'b> {
    let weight = |offer: &Offer<'_>| {
        let spreads = (offer.cost_ms - least) / spread_ms;
        if spreads > MAX_SPREADS {
            0.0
        } else {
            (-spreads).exp()
        }
    };
    let total: f64 = offers.iter().map(weight).sum();
    let mut left = rng.random_range(0.0..total.max(f64::MIN_POSITIVE));
    for offer in offers {
        let weight = weight(offer);
        if weight > 0.0 && left < weight {
            return offer;
        }
        left -= weight;
    }
    // Rounding alone comes here; the least one is as good an answer as any.
    let by_cost = |a: &&Offer<'_>, b: &&Offer<'_>| a.cost_ms.total_cmp(&b.cost_ms);
    offers.iter().min_by(by_cost).unwrap_or(&offers[0])
}

/// Returns the endpoints that may take the call.
///
/// Those that are ejected or under an order are left out as long as others are there: an ejection
/// is a suspicion, and a service whose endpoints are all suspected still has to be tried.
fn candidates<'a>(
    table: &'a EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
) -> Vec<&'a EndpointRow> {
    let usable: Vec<&EndpointRow> = table
        .iter()
        .filter(|row| row.endpoint.service == *request.service)
        .filter(|row| row.life != EndpointLife::Draining)
        .filter(|row| !request.excluded.contains(&row.endpoint.id))
        .filter(|row| has_right_weights(row, request, now))
        .collect();
    let is_free = |row: &&EndpointRow| row.reserved_until_us <= now;
    let is_good = |row: &&EndpointRow| !row.outlier.is_ejected(now);
    let is_there = |row: &&EndpointRow| row.life == EndpointLife::Ready;
    let best: Vec<&EndpointRow> = usable
        .iter()
        .copied()
        .filter(|row| is_free(row) && is_good(row) && is_there(row))
        .collect();
    if !best.is_empty() {
        return best;
    }
    let free: Vec<&EndpointRow> = usable.iter().copied().filter(is_free).collect();
    match free.is_empty() {
        true => usable,
        false => free,
    }
}

fn has_right_weights(row: &EndpointRow, request: &PlacementRequest<'_>, now: TimeUs) -> bool {
    let Some(prompt) = request.prompt else {
        return true;
    };
    let Some(has) = row.weights(&prompt.model) else {
        return false;
    };
    if request
        .required_weights
        .is_some_and(|required| required != has)
    {
        return false;
    }
    match replaced_at(request, has) {
        Some(at) => now.since(at) < OLD_WEIGHTS_UNTIL_US,
        None => true,
    }
}

fn replaced_at(request: &PlacementRequest<'_>, has: WeightNumber) -> Option<TimeUs> {
    request.wanted_weights?.replaced_at(has)
}

/// Returns what ranks endpoints for a prompt: its last part that others share.
fn affinity(request: &PlacementRequest<'_>) -> Option<Rendezvous> {
    let parts = &request.prompt?.parts;
    let shared = parts
        .len()
        .checked_sub(2)
        .and_then(|index| parts.get(index));
    let part = shared.or(parts.first())?;
    Some(Rendezvous::new("prompt", &part.id.to_string()))
}

fn offer<'a>(
    row: &'a EndpointRow,
    stores: &PartStores,
    request: &PlacementRequest<'_>,
    affinity: Option<&Rendezvous>,
    now: TimeUs,
) -> Offer<'a> {
    let mut offer = match (request.prompt, request.engine) {
        (Some(prompt), Some(engine)) => engine_offer(row, stores, request, prompt, engine, now),
        _ => plain_offer(row, now),
    };
    if row.endpoint.zone != *request.zone {
        offer.cost_ms += OTHER_ZONE_MS;
    }
    if let Some(affinity) = affinity {
        // The score is spread evenly; the best of a few comes close to the whole head start.
        let score = affinity.score(row.endpoint.id.as_str().as_bytes());
        offer.cost_ms -= AFFINITY_MS * (score as f64 / u64::MAX as f64);
    }
    offer.cost_ms += row.outlier.failure_rate() * offer.wait_ms.max(50.0);
    offer
}

fn engine_offer<'a>(
    row: &'a EndpointRow,
    stores: &PartStores,
    request: &PlacementRequest<'_>,
    prompt: &PromptShape,
    engine: &EngineTraits,
    now: TimeUs,
) -> Offer<'a> {
    let weights = row.weights(&prompt.model);
    let scope = weights.map(|weights| cache_scope(weights, request.wall));
    let keys = scope
        .as_deref()
        .map(|scope| part_keys(scope, prompt))
        .unwrap_or_default();
    let held = row.parts.held_prefix(&keys);
    let cached_tokens = keys[..held].iter().map(|(_, tokens)| tokens).sum();
    let (fetched_tokens, fetch_ms) = fetchable(row, stores, &keys[held..], engine, now);
    let prompt_tokens = prompt.prompt_tokens.get();
    let unread = prompt_tokens.saturating_sub(cached_tokens + fetched_tokens);
    let shared_unread = unread.saturating_sub(keys.last().map_or(0, |(_, tokens)| *tokens));
    let load = row.load();
    let mut queue_ms = load.unread_tokens as f64 / READ_TOKENS_PER_MS;
    queue_ms += f64::from(load.running) * RUNNING_MS;
    let memory = engine.memory_tokens.as_f64().max(1.0);
    let wanted = load.memory_tokens as f64 + prompt_tokens as f64 + prompt.output_tokens.as_f64();
    let beyond = ((wanted - memory) / memory).max(0.0);
    queue_ms += beyond * request.memory_duration_us.as_secs_f64() * 1_000.0;
    queue_ms += slot_wait_ms(busy(row, now), engine.slots, request.duration_us);
    let wait_ms = queue_ms + fetch_ms + unread as f64 / READ_TOKENS_PER_MS;
    let replaced_at = weights.and_then(|weights| replaced_at(request, weights));
    let is_old = replaced_at.is_some_and(|at| now.since(at) > OLD_WEIGHTS_AFTER_US);
    let old_ms = if is_old { OLD_WEIGHTS_MS } else { 0.0 };
    Offer {
        row,
        weights,
        scope,
        cached_tokens,
        fetched_tokens,
        queue_ms,
        wait_ms,
        cost_ms: wait_ms + old_ms + shared_unread as f64 * REREAD_MS_PER_TOKEN,
    }
}

/// Returns how many tokens of the next parts stores can give in a row, and how long that takes.
fn fetchable(
    row: &EndpointRow,
    stores: &PartStores,
    keys: &[(PartKey, u64)],
    engine: &EngineTraits,
    now: TimeUs,
) -> (u64, f64) {
    let mut fetched_tokens = 0;
    let mut fetch_ms = 0.0;
    for (key, tokens) in keys {
        let Some(fetch) = stores.fetch(*key, *tokens, engine, &row.endpoint.zone, now) else {
            break;
        };
        fetched_tokens += tokens;
        fetch_ms += fetch.took_ms;
    }
    (fetched_tokens, fetch_ms)
}

/// Returns how many requests an endpoint has: as this daemon counts, or as it has told itself.
fn busy(row: &EndpointRow, now: TimeUs) -> u32 {
    let told = row.told.filter(|(_, at)| now.since(*at) < TOLD_LIFE_US);
    let told = told.map_or(0, |(report, _)| report.running + report.waiting);
    row.load().running.max(told)
}

/// Returns the wait for a free slot: one becomes free each time one of the running calls ends.
fn slot_wait_ms(busy: u32, slots: u32, duration_us: DurationUs) -> f64 {
    let slots = slots.max(1);
    let before = (busy + 1).saturating_sub(slots);
    f64::from(before) / f64::from(slots) * duration_us.as_secs_f64() * 1_000.0
}

fn plain_offer(row: &EndpointRow, now: TimeUs) -> Offer<'_> {
    let slots = row.endpoint.slots.max(1);
    let rounds = f64::from(busy(row, now)) / f64::from(slots);
    let wait_ms = PLAIN_CALL_MS * (1.0 + rounds.max(0.0) * 0.5 + (rounds - 1.0).max(0.0));
    Offer {
        row,
        weights: None,
        scope: None,
        cached_tokens: 0,
        fetched_tokens: 0,
        queue_ms: wait_ms - PLAIN_CALL_MS,
        wait_ms,
        cost_ms: wait_ms,
    }
}

/// Returns the weights that a scope was made for; nothing where it isn't one of ours.
pub(crate) fn weights_of_scope(scope: &str) -> Option<WeightNumber> {
    let weights = scope.strip_prefix('w')?.split('.').next()?;
    weights.parse().ok()
}

/// Returns the text under which engines keep and find parts.
///
/// It holds the weights, since engines don't check under which ones a part was made: one that was
/// made before a change of weights would be used after it, and answers would be subtly wrong. It
/// holds the workspace where that shares nothing with others.
pub(crate) fn cache_scope(weights: WeightNumber, wall: Option<&WorkspaceId>) -> String {
    match wall {
        Some(workspace) => format!("w{weights}.{workspace}"),
        None => format!("w{weights}"),
    }
}
