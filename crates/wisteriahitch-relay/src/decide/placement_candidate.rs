//! Estimates the time until the first event of a call at one endpoint, and its cost to other calls.

use std::net::SocketAddr;

use wisteriahitch_types::{DurationUs, EndpointInstance, TimeUs};

use super::backlog::Load;
use super::endpoint_row::EndpointRow;
use super::engine_rates::{PaceLesson, ServicePace};
use super::first_event_fit::FirstEventWork;
use super::part_sources::PartSources;
use super::placement_request::{EngineCall, EstimateBasis, REREAD_MS_PER_TOKEN};
use crate::site::EngineSpec;

/// Cost of an endpoint in another availability zone, in milliseconds: the network round trip and
/// the price of traffic between zones.
const OTHER_ZONE_MS: f64 = 12.0;
/// Cost of weights that are about to be replaced, in milliseconds, from
/// [`REPLACED_WEIGHTS_DELAY_US`] on.
const REPLACED_WEIGHTS_MS: f64 = 150.0;
/// Time after their replacement for which old weights cost nothing extra.
const REPLACED_WEIGHTS_DELAY_US: DurationUs = DurationUs::from_ms(900);
/// Maximum cost reduction by prompt affinity, in milliseconds, for the endpoint that the prompt's
/// hash ranks first. It lets daemons that have not yet received each other's updates send equal
/// prompts to the same endpoint.
const AFFINITY_MS: f64 = 6.0;
/// Cost reduction for the preferred engine in a small fleet, in milliseconds for each shared token
/// that no engine is known to have cached. The prompt's hash ranks the preferred engine first.
///
/// Load pattern: all engines have loaded new weights, or all daemons have just started, and every
/// daemon gets prompts with parts that no engine is known to have cached. Updates about who reads
/// them take some hundred milliseconds in a large fleet; without a preference each daemon would
/// pick another engine for the same part until then.
const PREFERRED_MS_PER_TOKEN: f64 = 0.05;
/// Cost reduction for the preferred engine in a fleet so large that candidates are sampled over the
/// widest spread, in milliseconds per token. It offsets [`REREAD_MS_PER_TOKEN`]: an engine that has
/// already read the part is the preferred one. With 195 daemons, a day on which daemons restart and
/// lose power together is worth 0.41 without it, 0.44 with 0.05 and 0.52 with 0.2. At three
/// deployments of up to 9 daemons, 0.2 is worth 0.005 less than 0.05, which is within the variation
/// between runs.
const LARGE_FLEET_PREFERRED_MS_PER_TOKEN: f64 = 0.2;
/// Share of the reduction that the second-ranked engine gets: two queues for a popular part instead
/// of one.
const SECOND_PREFERRED_SHARE: f64 = 0.5;
/// Queued tokens, beyond half of a prompt's own, up to which the first event is used to learn rates.
const MAX_QUEUED_LESSON_TOKENS: u64 = 500;
/// Time for which a load that an endpoint reported itself is used.
const REPORTED_LOAD_TTL_US: DurationUs = DurationUs::from_ms(300);

/// The source of most of the tokens that a call fetches, and the estimated fetch time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MainFetch {
    /// Address of the store or engine.
    pub source: SocketAddr,
    /// Time that all fetches of the call take over links at their nominal rate.
    pub nominal_us: DurationUs,
    /// Time that all fetches of the call are expected to take over the links as measured.
    pub expected_us: DurationUs,
}

/// The engines to which parts are sent that no engine is known to have cached.
#[derive(Default)]
pub(super) struct PreferredEngines {
    first: Option<EndpointInstance>,
    second: Option<EndpointInstance>,
    /// Cost reduction of the first engine, in milliseconds per token.
    ms_per_token: f64,
}

impl PreferredEngines {
    /// Ranks the engines for a call; both are `None` if the call has no prompt. `spread_fraction`
    /// is the width of the spread over which candidates are sampled, from 0 (small fleet) to 1.
    pub(super) fn rank(
        rows: &[&EndpointRow],
        call: Option<&EngineCall<'_>>,
        spread_fraction: f64,
    ) -> Self {
        let Some(affinity) = call.and_then(|call| call.affinity.as_ref()) else {
            return Self::default();
        };
        let instances = rows.iter().map(|row| row.instance());
        let key = |instance: &&EndpointInstance| instance.id.as_str().as_bytes().to_vec();
        let mut ranked = affinity.top(instances, 2, key).into_iter().cloned();
        Self {
            first: ranked.next(),
            second: ranked.next(),
            ms_per_token: PREFERRED_MS_PER_TOKEN
                + (LARGE_FLEET_PREFERRED_MS_PER_TOKEN - PREFERRED_MS_PER_TOKEN) * spread_fraction,
        }
    }

    /// Returns the cost reduction of an endpoint, in milliseconds per shared token.
    fn ms_per_token(&self, row: &EndpointRow) -> f64 {
        let is = |engine: &Option<EndpointInstance>| engine.as_ref() == Some(row.instance());
        match (is(&self.first), is(&self.second)) {
            (true, _) => self.ms_per_token,
            (_, true) => self.ms_per_token * SECOND_PREFERRED_SHARE,
            _ => 0.0,
        }
    }
}

/// Estimates for one call at one endpoint.
pub(super) struct PlacementCandidate<'a> {
    pub(super) row: &'a EndpointRow,
    /// Sources of the prompt's parts for the endpoint's weights.
    pub(super) parts: Option<&'a PartSources<'a>>,
    pub(super) cached_tokens: u64,
    pub(super) fetched_tokens: u64,
    pub(super) main_fetch: Option<MainFetch>,
    /// Estimated wait for the work of other calls.
    pub(super) queue_ms: f64,
    /// Estimated time until the first event.
    pub(super) wait_ms: f64,
    pub(super) cost_ms: f64,
    /// What the time of the answer will say of the service's rates; `None` if nothing.
    pub(super) lesson: Option<PaceLesson>,
}

/// Estimates a call at one endpoint.
pub(super) fn evaluate<'a>(
    row: &'a EndpointRow,
    call: Option<&EngineCall<'_>>,
    sources: &'a [PartSources<'a>],
    preferred: &PreferredEngines,
    basis: &EstimateBasis<'_>,
) -> PlacementCandidate<'a> {
    let EstimateBasis { request, pace, now } = *basis;
    let factor = match request.uses_learned_rates {
        true => row.work_factor(now),
        false => 1.0,
    };
    let mut candidate = match call {
        Some(call) => {
            let weights = call.request.expected_weights(row, call.now);
            let parts = sources.iter().find(|parts| Some(parts.weights) == weights);
            engine_candidate(row, parts, preferred, call, (pace, factor))
        }
        None => plain_candidate(row, (pace, factor), now),
    };
    if row.endpoint.zone != *request.zone {
        candidate.cost_ms += OTHER_ZONE_MS;
    }
    if let Some(affinity) = call.and_then(|call| call.affinity.as_ref()) {
        // The score is distributed evenly, so the best of a few endpoints gets nearly the whole
        // reduction.
        let score = affinity.score(row.instance().id.as_str().as_bytes());
        candidate.cost_ms -= AFFINITY_MS * (score as f64 / u64::MAX as f64);
    }
    candidate.cost_ms += row.outlier.failure_rate() * candidate.wait_ms.max(50.0);
    candidate
}

fn engine_candidate<'a>(
    row: &'a EndpointRow,
    parts: Option<&'a PartSources<'a>>,
    preferred: &PreferredEngines,
    call: &EngineCall<'_>,
    (pace, factor): (&ServicePace, f64),
) -> PlacementCandidate<'a> {
    let (request, prompt, engine) = (call.request, call.prompt, call.engine);
    let reuse = parts.map_or_else(Reuse::default, |parts| Reuse::of(row, parts, call));
    let prompt_tokens = prompt.prompt_tokens.get();
    let unread = prompt_tokens.saturating_sub(reuse.cached_tokens + reuse.fetched_tokens);
    let last_part_tokens = prompt.parts.last().map_or(0, |part| part.tokens.get());
    let shared_unread = unread.saturating_sub(last_part_tokens);
    let load = row.load();
    let mut queue_ms = load.unread_tokens as f64 / pace.read_tokens_per_ms;
    queue_ms += f64::from(load.running) * pace.running_ms;
    let memory_tokens = engine.memory_tokens.as_f64().max(1.0);
    let needed_tokens = load.memory_tokens as f64 + call.memory_tokens as f64;
    let overcommit = ((needed_tokens - memory_tokens) / memory_tokens).max(0.0);
    queue_ms += overcommit * request.memory_duration_us.as_secs_f64() * 1_000.0;
    let busy_requests = busy_requests(row, call.now);
    let slot_wait_ms = slot_wait_ms(busy_requests, engine.slots, request.duration_us);
    queue_ms = (queue_ms + slot_wait_ms) * factor;
    let own_ms = unread as f64 / pace.read_tokens_per_ms + pace.fixed_ms;
    let wait_ms = queue_ms + reuse.fetch_ms + own_ms * factor;
    let is_undisturbed = reuse.fetched_tokens == 0 && overcommit == 0.0 && slot_wait_ms == 0.0;
    let lesson = is_undisturbed.then(|| engine_lesson(unread, load, engine));
    let replaced_at = parts.and_then(|parts| call.replaced_at(parts.weights));
    let is_replaced = replaced_at.is_some_and(|at| call.now.since(at) > REPLACED_WEIGHTS_DELAY_US);
    let shared_token_ms = REREAD_MS_PER_TOKEN - preferred.ms_per_token(row);
    let replaced_ms = if is_replaced {
        REPLACED_WEIGHTS_MS
    } else {
        0.0
    };
    PlacementCandidate {
        row,
        parts,
        cached_tokens: reuse.cached_tokens,
        fetched_tokens: reuse.fetched_tokens,
        main_fetch: reuse.main_source.map(|(source, _)| MainFetch {
            source,
            nominal_us: DurationUs::from_secs_f64(reuse.nominal_ms / 1_000.0),
            expected_us: DurationUs::from_secs_f64(reuse.fetch_ms / 1_000.0),
        }),
        queue_ms,
        wait_ms,
        cost_ms: wait_ms + replaced_ms + shared_unread as f64 * shared_token_ms,
        lesson: lesson.flatten(),
    }
}

/// Returns what the first event will say of the rates, or `None` if so much is queued that the time
/// depends on how the engine orders it.
fn engine_lesson(unread_tokens: u64, load: Load, engine: &EngineSpec) -> Option<PaceLesson> {
    let max_queued = MAX_QUEUED_LESSON_TOKENS + unread_tokens / 2;
    (load.unread_tokens <= max_queued).then(|| PaceLesson::Engine {
        work: FirstEventWork {
            unread_tokens: unread_tokens as f64 + load.unread_tokens as f64,
            running: f64::from(load.running),
        },
        tokens_per_event: engine.tokens_per_event.unwrap_or(1),
    })
}

/// Tokens of a prompt that an engine does not have to read.
#[derive(Default)]
struct Reuse {
    cached_tokens: u64,
    fetched_tokens: u64,
    /// Expected time of all fetches over the links as measured.
    fetch_ms: f64,
    /// Time of all fetches over links at their nominal rate.
    nominal_ms: f64,
    /// Source of the largest fetched part, and its tokens.
    main_source: Option<(SocketAddr, u64)>,
}

impl Reuse {
    /// Returns the cached prefix of a prompt and the parts after it that the engine can fetch. A
    /// part is of use only if all parts before it are present.
    fn of(row: &EndpointRow, parts: &PartSources<'_>, call: &EngineCall<'_>) -> Self {
        let cached = row
            .parts
            .cached_prefix_len(&parts.keys, call.min_part_use_at(row));
        let mut reuse = Self {
            cached_tokens: parts.keys[..cached].iter().map(|(_, tokens)| tokens).sum(),
            ..Self::default()
        };
        for (index, (_, tokens)) in parts.keys.iter().enumerate().skip(cached) {
            let Some(fetch) = parts.fetch(index, row, call) else {
                break;
            };
            reuse.fetched_tokens += tokens;
            reuse.nominal_ms += fetch.nominal_ms;
            reuse.fetch_ms += fetch.expected_ms;
            if reuse.main_source.is_none_or(|(_, most)| *tokens > most) {
                reuse.main_source = Some((fetch.source, *tokens));
            }
        }
        reuse
    }
}

/// Returns the number of requests at an endpoint: the count of this daemon or the endpoint's own
/// report, whichever is higher.
fn busy_requests(row: &EndpointRow, now: TimeUs) -> u32 {
    let reported = row
        .reported_load
        .as_deref()
        .filter(|(_, at)| now.since(*at) < REPORTED_LOAD_TTL_US);
    let reported = reported.map_or(0, |(report, _)| report.running + report.waiting);
    row.load().running.max(reported)
}

/// Returns the wait for a free slot, in milliseconds: a slot becomes free each time a running call
/// ends.
fn slot_wait_ms(busy_requests: u32, slots: u32, duration_us: DurationUs) -> f64 {
    let slots = slots.max(1);
    let queued_ahead = (busy_requests + 1).saturating_sub(slots);
    f64::from(queued_ahead) / f64::from(slots) * duration_us.as_secs_f64() * 1_000.0
}

fn plain_candidate<'a>(
    row: &'a EndpointRow,
    (pace, factor): (&ServicePace, f64),
    now: TimeUs,
) -> PlacementCandidate<'a> {
    let slots = row.endpoint.slots.max(1);
    let rounds = f64::from(busy_requests(row, now)) / f64::from(slots);
    let multiple = 1.0 + rounds.max(0.0) * 0.5 + (rounds - 1.0).max(0.0);
    let plain_call_ms = pace.plain_call_ms * factor;
    let wait_ms = plain_call_ms * multiple;
    PlacementCandidate {
        row,
        parts: None,
        cached_tokens: 0,
        fetched_tokens: 0,
        main_fetch: None,
        queue_ms: wait_ms - plain_call_ms,
        wait_ms,
        cost_ms: wait_ms,
        lesson: (rounds < 1.0).then_some(PaceLesson::Plain { multiple }),
    }
}
