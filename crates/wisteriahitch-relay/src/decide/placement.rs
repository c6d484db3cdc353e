//! Where a call runs.
//!
//! For each endpoint the time until its first event is estimated: what it still has to read, what
//! of this prompt it doesn't keep, how full it is. The least one is taken.
//! `docs/design/platform.md` gives the reasons and the figures.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::{Rng, RngExt};
use wisteriahitch_types::{Code, DurationUs, EndpointInstance, TimeUs, WeightNumber};

use super::endpoint_admission::{Admission, CallPermits, LimitCause};
use super::endpoint_row::{EndpointRow, EndpointState};
use super::endpoint_table::EndpointTable;
use super::offer::{Homes, MainFetch, Offer, offer};
use super::overload::retry_after;
use super::part_sources::PartSources;
use super::part_stores::PartStores;
use super::placement_request::{EngineCall, PlacementRequest};
use crate::border::Refusal;

/// Milliseconds by which endpoints count as about equal in a small fleet; one of them is drawn.
const MIN_SPREAD_MS: f64 = 2.0;
/// The same for each daemon of a large fleet: the more daemons choose by the same news, and the
/// older it is, the more of them would send to the same endpoint before they hear of each other.
const SPREAD_MS_PER_DAEMON: f64 = 0.35;
/// Most that it grows to.
const MAX_SPREAD_MS: f64 = 40.0;
/// Endpoints that cost so many times the spread more than the least one aren't drawn.
const MAX_SPREADS: f64 = 4.0;
/// When a caller may come back where no endpoint takes requests.
const NO_ENDPOINT_RETRY_US: DurationUs = DurationUs::from_ms(400);
/// The same where all zones are evacuated, the time in which the end of an evacuation is known everywhere.
const EVACUATED_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// Where a call runs, and what that was decided by.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Endpoint, in the life that the decision was made for.
    pub endpoint: EndpointInstance,
    /// Its address.
    pub address: SocketAddr,
    /// Weights that it has.
    pub weights: Option<WeightNumber>,
    /// Text under which it keeps parts.
    pub cache_scope: Option<String>,
    /// Prompt tokens that it is believed to keep.
    pub cached_tokens: u64,
    /// Prompt tokens that it fetches from stores and other engines.
    pub fetched_tokens: u64,
    /// For each part of the prompt, where it can be fetched; empty where nothing is known.
    pub fetch_from: Vec<Option<SocketAddr>>,
    /// The source of most of what is fetched, and the time that all of it takes.
    pub main_fetch: Option<MainFetch>,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// Estimated wait for the work of others.
    pub queue_us: DurationUs,
    /// Estimated time until the first event.
    pub expected_us: DurationUs,
    /// Endpoints that were compared.
    pub candidates: usize,
    /// Permits under which an endpoint whose calls are bounded gets the call.
    pub permits: CallPermits,
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
    let call = EngineCall::new(request, stores, now);
    let call = call.as_ref();
    let sources = call.map_or_else(Vec::new, |call| part_sources(table, &rows, call, rng));
    let homes = Homes::of(&rows, call, draw_width(request.daemons));
    let offers: Vec<Offer<'_>> = rows
        .iter()
        .map(|row| offer(row, call, &sources, &homes, request.zone, now))
        .collect();
    let least = offers
        .iter()
        .map(|offer| offer.cost_ms)
        .min_by(f64::total_cmp);
    let Some(least) = least else {
        return Err(no_candidate(table, request, now, rng));
    };
    let chosen = match request.is_isolated {
        true => least_loaded(&offers),
        false => draw(&offers, least, spread_ms(request.daemons), rng),
    };
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
    let fetch_from = match (chosen.parts, call) {
        (Some(parts), Some(call)) => parts.addresses(chosen.row, call),
        _ => Vec::new(),
    };
    Ok(Placement {
        endpoint: chosen.row.instance().clone(),
        address: chosen.row.endpoint.address,
        weights: chosen.parts.map(|parts| parts.weights),
        cache_scope: chosen.parts.map(|parts| parts.scope.clone()),
        cached_tokens: chosen.cached_tokens,
        fetched_tokens: chosen.fetched_tokens,
        fetch_from,
        main_fetch: chosen.main_fetch,
        unread_tokens: prompt_tokens.saturating_sub(chosen.cached_tokens + chosen.fetched_tokens),
        queue_us,
        expected_us,
        candidates: offers.len(),
        permits: match table.admission(chosen.row, now) {
            Admission::Permit(permits) => permits,
            _ => CallPermits::default(),
        },
    })
}

/// Says why no endpoint may take a call.
fn no_candidate(
    table: &EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
    rng: &mut impl Rng,
) -> Refusal {
    let rows: Vec<&EndpointRow> = takers(table, request).collect();
    let is_allowed = |row: &&&EndpointRow| request.allowed_zones.contains(&row.endpoint.zone);
    let allowed: Vec<&EndpointRow> = rows.iter().filter(is_allowed).copied().collect();
    if !rows.is_empty() && allowed.is_empty() {
        return Refusal::new(Code::RegionUnavailable).retry_after(NO_ENDPOINT_RETRY_US);
    }
    let untried = allowed
        .into_iter()
        .filter(|row| !request.excluded.contains(row.instance()));
    let admissions: Vec<Admission> = untried.map(|row| table.admission(row, now)).collect();
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
    let is_evacuated = |admission: &Admission| *admission == Admission::Evacuated;
    if !admissions.is_empty() && admissions.iter().all(is_evacuated) {
        return Refusal::new(Code::ZonesEvacuated).retry_after(EVACUATED_RETRY_US);
    }
    Refusal::new(Code::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_US)
}

/// Returns how wide the draw is, from 0 where it is narrowest to 1.
fn draw_width(daemons: usize) -> f64 {
    (spread_ms(daemons) - MIN_SPREAD_MS) / (MAX_SPREAD_MS - MIN_SPREAD_MS)
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

/// Returns the offer of the endpoint at which the fewest calls run, of several the one that costs least.
///
/// What the call is suspected of ends all that runs there: one of the others would be lost with it for each call.
fn least_loaded<'a, 'b>(offers: &'a [Offer<'b>]) -> &'a Offer<'b> {
    let running = |offer: &Offer<'_>| offer.row.load().running;
    let by_loss = |a: &&Offer<'_>, b: &&Offer<'_>| {
        let by_cost = || a.cost_ms.total_cmp(&b.cost_ms);
        running(a).cmp(&running(b)).then_with(by_cost)
    };
    offers.iter().min_by(by_loss).unwrap_or(&offers[0])
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
    let usable = usable(table, request, now);
    let is_free = |row: &&EndpointRow| row.reserved_until_us <= now;
    let is_good =
        |row: &&EndpointRow| !row.outlier.is_ejected(now) && row.suspected_until_us <= now;
    let is_there = |row: &&EndpointRow| row.state == EndpointState::Ready && !row.is_displaced;
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

/// Returns the endpoints of the call's service that take requests at all.
fn takers<'a>(
    table: &'a EndpointTable,
    request: &PlacementRequest<'_>,
) -> impl Iterator<Item = &'a EndpointRow> {
    let service = request.service.clone();
    table
        .iter()
        .filter(move |row| row.endpoint.service == service && row.accepts_requests())
}

/// Returns the endpoints that have weights which the call may use.
///
/// If none seems to, all that may have got the wanted ones since are tried. What is known of them
/// may be old: another daemon had them load new weights, and the store was away before they could
/// register again. Left out, they would never be asked, so that nothing new would be learnt, and
/// every call would be refused for as long as the outage lasts. One that does have old weights
/// refuses the call without running it.
fn usable<'a>(
    table: &'a EndpointTable,
    request: &PlacementRequest<'_>,
    now: TimeUs,
) -> Vec<&'a EndpointRow> {
    let (right, others): (Vec<&EndpointRow>, Vec<&EndpointRow>) = takers(table, request)
        .filter(|row| !request.excluded.contains(row.instance()))
        .filter(|row| request.allowed_zones.contains(&row.endpoint.zone))
        .filter(|row| table.admission(row, now).is_open())
        .partition(|row| has_right_weights(row, request, now));
    if !right.is_empty() {
        return right;
    }
    let may_have_wanted = |row: &&EndpointRow| {
        let assumed = request.weights_of(row, now);
        assumed.is_some() && request.required_weights.is_none_or(|r| Some(r) == assumed)
    };
    others.into_iter().filter(may_have_wanted).collect()
}

fn has_right_weights(row: &EndpointRow, request: &PlacementRequest<'_>, now: TimeUs) -> bool {
    let Some(prompt) = request.prompt else {
        return true;
    };
    let has = row.weights(&prompt.model);
    let is_required = request.required_weights.is_none_or(|r| Some(r) == has);
    has.is_some() && is_required && has == request.weights_of(row, now)
}

/// Finds the prompt's parts once for each version of the weights that candidates have, which are
/// mostly one.
fn part_sources<'a>(
    table: &'a EndpointTable,
    rows: &[&EndpointRow],
    call: &EngineCall<'_>,
    rng: &mut impl Rng,
) -> Vec<PartSources<'a>> {
    let versions: BTreeSet<WeightNumber> = rows
        .iter()
        .filter_map(|row| call.request.weights_of(row, call.now))
        .collect();
    versions
        .into_iter()
        .map(|weights| PartSources::find(table, call, weights, rng))
        .collect()
}
