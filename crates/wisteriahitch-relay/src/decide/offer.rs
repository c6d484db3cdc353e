//! What a call would get at one endpoint: an estimate of the time until its first event, and of what
//! that costs others.

use std::net::SocketAddr;

use wisteriahitch_types::{AvailabilityZone, DurationUs, EndpointInstance, TimeUs};

use super::endpoint_row::EndpointRow;
use super::part_sources::PartSources;
use super::placement_request::{EngineCall, READ_TOKENS_PER_MS, REREAD_MS_PER_TOKEN};

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
/// Milliseconds that a call of a service without an engine takes, as long as nothing better is known.
const PLAIN_CALL_MS: f64 = 40.0;
/// Head start, in milliseconds, of the endpoint that the prompt's hash ranks first. It lets daemons
/// that haven't heard of each other's requests send equal prompts to the same endpoint.
const AFFINITY_MS: f64 = 6.0;
/// Head start for each shared token that no engine is known to keep, in milliseconds, of the endpoint that
/// the prompt's hash ranks first, in a small fleet.
///
/// Load pattern: all engines have new weights, or all daemons have just started, and every daemon gets
/// prompts with parts that nobody is known to keep. News of who reads them takes some hundred
/// milliseconds in a large fleet, and until then each daemon would draw another engine for the same part.
const HOME_MS_PER_TOKEN: f64 = 0.05;
/// The same in a fleet so large that the draw among endpoints is widest. It makes up for the price of
/// reading the part again: whoever has read it already did so there. At 195 daemons a day whose daemons
/// restart and are powered off together is worth 0.41 without it, 0.44 with 0.05 and 0.52 with 0.2; at
/// three deployments of up to 9 daemons 0.2 is worth 0.005 less than 0.05, within what runs differ by.
const LARGE_HOME_MS_PER_TOKEN: f64 = 0.2;
/// Share of the head start that the second one has: two queues for one hot part instead of one.
const SECOND_HOME_SHARE: f64 = 0.5;
/// How long a told load counts.
const TOLD_LIFE_US: DurationUs = DurationUs::from_ms(300);

/// The fetch that most of a call's fetched tokens come by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MainFetch {
    /// Source.
    pub source: SocketAddr,
    /// Time that all fetches of the call would take over links as they usually are.
    pub usual_us: DurationUs,
    /// Time that they are expected to take.
    pub expected_us: DurationUs,
}

/// The endpoints to which parts are sent that nobody is known to keep.
#[derive(Default)]
pub(super) struct Homes {
    first: Option<EndpointInstance>,
    second: Option<EndpointInstance>,
    /// Head start of the first for each token.
    ms_per_token: f64,
}

impl Homes {
    /// Ranks endpoints for a call; none where it has no prompt. `draw_width` says how wide the draw among
    /// endpoints is, from 0 in a small fleet to 1.
    pub(super) fn of(
        rows: &[&EndpointRow],
        call: Option<&EngineCall<'_>>,
        draw_width: f64,
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
            ms_per_token: HOME_MS_PER_TOKEN
                + (LARGE_HOME_MS_PER_TOKEN - HOME_MS_PER_TOKEN) * draw_width,
        }
    }

    /// Returns the head start that an endpoint has for each token.
    fn ms_per_token(&self, row: &EndpointRow) -> f64 {
        let is = |home: &Option<EndpointInstance>| home.as_ref() == Some(row.instance());
        match (is(&self.first), is(&self.second)) {
            (true, _) => self.ms_per_token,
            (_, true) => self.ms_per_token * SECOND_HOME_SHARE,
            _ => 0.0,
        }
    }
}

/// What a call would get at one endpoint.
pub(super) struct Offer<'a> {
    pub(super) row: &'a EndpointRow,
    /// Where the prompt's parts lie under the endpoint's weights.
    pub(super) parts: Option<&'a PartSources<'a>>,
    pub(super) cached_tokens: u64,
    pub(super) fetched_tokens: u64,
    pub(super) main_fetch: Option<MainFetch>,
    /// Wait for the work of others.
    pub(super) queue_ms: f64,
    /// Wait for the first event.
    pub(super) wait_ms: f64,
    pub(super) cost_ms: f64,
}

/// Estimates a call at one endpoint.
pub(super) fn offer<'a>(
    row: &'a EndpointRow,
    call: Option<&EngineCall<'_>>,
    sources: &'a [PartSources<'a>],
    homes: &Homes,
    zone: &AvailabilityZone,
    now: TimeUs,
) -> Offer<'a> {
    let mut offer = match call {
        Some(call) => {
            let weights = call.request.weights_of(row, call.now);
            let parts = sources.iter().find(|parts| Some(parts.weights) == weights);
            engine_offer(row, parts, homes, call)
        }
        None => plain_offer(row, now),
    };
    if row.endpoint.zone != *zone {
        offer.cost_ms += OTHER_ZONE_MS;
    }
    if let Some(affinity) = call.and_then(|call| call.affinity.as_ref()) {
        // The score is spread evenly; the best of a few comes close to the whole head start.
        let score = affinity.score(row.instance().id.as_str().as_bytes());
        offer.cost_ms -= AFFINITY_MS * (score as f64 / u64::MAX as f64);
    }
    offer.cost_ms += row.outlier.failure_rate() * offer.wait_ms.max(50.0);
    offer
}

fn engine_offer<'a>(
    row: &'a EndpointRow,
    parts: Option<&'a PartSources<'a>>,
    homes: &Homes,
    call: &EngineCall<'_>,
) -> Offer<'a> {
    let (request, prompt, engine) = (call.request, call.prompt, call.engine);
    let reuse = parts.map_or_else(Reuse::default, |parts| Reuse::of(row, parts, call));
    let prompt_tokens = prompt.prompt_tokens.get();
    let unread = prompt_tokens.saturating_sub(reuse.cached_tokens + reuse.fetched_tokens);
    let own_tokens = prompt.parts.last().map_or(0, |part| part.tokens.get());
    let shared_unread = unread.saturating_sub(own_tokens);
    let load = row.load();
    let mut queue_ms = load.unread_tokens as f64 / READ_TOKENS_PER_MS;
    queue_ms += f64::from(load.running) * RUNNING_MS;
    let memory = engine.memory_tokens.as_f64().max(1.0);
    let wanted = load.memory_tokens as f64 + prompt_tokens as f64 + prompt.output_tokens.as_f64();
    let beyond = ((wanted - memory) / memory).max(0.0);
    queue_ms += beyond * request.memory_duration_us.as_secs_f64() * 1_000.0;
    queue_ms += slot_wait_ms(busy(row, call.now), engine.slots, request.duration_us);
    let wait_ms = queue_ms + reuse.fetch_ms + unread as f64 / READ_TOKENS_PER_MS;
    let replaced_at = parts.and_then(|parts| call.replaced_at(parts.weights));
    let is_old = replaced_at.is_some_and(|at| call.now.since(at) > OLD_WEIGHTS_AFTER_US);
    let shared_token_ms = REREAD_MS_PER_TOKEN - homes.ms_per_token(row);
    let old_ms = if is_old { OLD_WEIGHTS_MS } else { 0.0 };
    Offer {
        row,
        parts,
        cached_tokens: reuse.cached_tokens,
        fetched_tokens: reuse.fetched_tokens,
        main_fetch: reuse.main_source.map(|(source, _)| MainFetch {
            source,
            usual_us: DurationUs::from_secs_f64(reuse.usual_ms / 1_000.0),
            expected_us: DurationUs::from_secs_f64(reuse.fetch_ms / 1_000.0),
        }),
        queue_ms,
        wait_ms,
        cost_ms: wait_ms + old_ms + shared_unread as f64 * shared_token_ms,
    }
}

/// What an engine need not read of a prompt.
#[derive(Default)]
struct Reuse {
    cached_tokens: u64,
    fetched_tokens: u64,
    /// Time that the fetches take.
    fetch_ms: f64,
    /// Time that they would take over links as they usually are.
    usual_ms: f64,
    /// Source of the largest part, and its tokens.
    main_source: Option<(SocketAddr, u64)>,
}

impl Reuse {
    /// Returns what an engine keeps of a prompt, and what of the rest it can fetch in a row: a part
    /// is of use only where all parts before it are there.
    fn of(row: &EndpointRow, parts: &PartSources<'_>, call: &EngineCall<'_>) -> Self {
        let held = row
            .parts
            .held_prefix(&parts.keys, call.parts_kept_since(row));
        let mut reuse = Self {
            cached_tokens: parts.keys[..held].iter().map(|(_, tokens)| tokens).sum(),
            ..Self::default()
        };
        for (index, (_, tokens)) in parts.keys.iter().enumerate().skip(held) {
            let Some(fetch) = parts.fetch(index, row, call) else {
                break;
            };
            reuse.fetched_tokens += tokens;
            reuse.usual_ms += fetch.usual_ms;
            reuse.fetch_ms += fetch.paced_ms;
            if reuse.main_source.is_none_or(|(_, most)| *tokens > most) {
                reuse.main_source = Some((fetch.from, *tokens));
            }
        }
        reuse
    }
}

/// Returns how many requests an endpoint has: as this daemon counts, or as it has told itself.
fn busy(row: &EndpointRow, now: TimeUs) -> u32 {
    let told = row
        .reported_load
        .filter(|(_, at)| now.since(*at) < TOLD_LIFE_US);
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
        parts: None,
        cached_tokens: 0,
        fetched_tokens: 0,
        main_fetch: None,
        queue_ms: wait_ms - PLAIN_CALL_MS,
        wait_ms,
        cost_ms: wait_ms,
    }
}
