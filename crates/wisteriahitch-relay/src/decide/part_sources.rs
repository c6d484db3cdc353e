//! Finds where the parts of one prompt are stored or cached, and from where an engine may fetch
//! them.
//!
//! A part that has been read once need not be read again: an engine fetches it from a store, or
//! from another engine that has it cached, in a third of the time and without delaying its batch.
//! The contents of engine caches are estimates. A wrong estimate costs a millisecond and reading
//! the part again; it never produces a wrong answer, since parts are looked up only under a scope
//! that binds their weights and workspace.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;
use wisteriahitch_types::{DurationUs, TimeUs, WeightNumber};

use super::endpoint_row::{EndpointRow, EndpointState};
use super::endpoint_table::EndpointTable;
use super::link_slowdowns::LinkSlowdowns;
use super::part_stores::{OTHER_ZONE_FACTOR, StoreFetch, transfer_ms};
use super::parts::{PartKey, USE_UPDATE_INTERVAL_US, cache_scope, part_keys};
use super::placement_request::{EngineCall, READ_TOKENS_PER_MS};
use crate::site::EngineSpec;

/// Maximum number of engines that are compared as sources of one part. They are picked at random
/// for each call, so that calls do not all fetch a popular part from the same engine.
const MAX_HOLDERS: usize = 8;

/// How much earlier than the latest known use of a part an engine may have used it to be a source of
/// it, where the latest holders are preferred. Repeated uses are gossiped once in this time, so that
/// their order within it is unknown.
const LATEST_USE_SPAN_US: DurationUs = USE_UPDATE_INTERVAL_US;

/// Number of engines with a cached part from which on stores are not used for it. These engines use
/// the part all the time and have not evicted it; if all engines fetched it from the one store that
/// has it, fetches would queue at that store.
const WIDELY_CACHED_ENGINES: usize = 4;

/// Maximum worthwhile fetch time per token, in milliseconds: eight times the time to read the
/// token. The caller waits for a fetch as for reading, but the engine's other calls do not; a still
/// longer fetch makes the call late by itself. Compared with a factor of 2.5, the factor 8 gains
/// 0.01 and 0.02 in the mean worth of eight loads at two of three deployments.
const MAX_FETCH_MS_PER_TOKEN: f64 = 8.0 / READ_TOKENS_PER_MS;

/// Maximum worthwhile fetch time per token over a link that is broken rather than busy, in
/// milliseconds: 2.5 times the time to read the token.
const MAX_BROKEN_FETCH_MS_PER_TOKEN: f64 = 2.5 / READ_TOKENS_PER_MS;

/// Ratio of expected to nominal fetch time from which on a link counts as broken. A link that is
/// shared by many fetches becomes slow too, but is still better than reading.
const BROKEN_LINK_RATIO: f64 = 8.0;

/// Fetch time that is always acceptable, in milliseconds. Short parts stand at the start of
/// prompts, and without them nothing that follows is of use. It covers the setup of a transfer at
/// the slower kind of store.
const FETCH_ALLOWANCE_MS: f64 = 8.0;

/// Setup time of a fetch from an engine, in milliseconds; a request for a part that the engine has
/// evicted costs as much.
const ENGINE_FETCH_SETUP_MS: f64 = 1.0;

/// Source of a part, and the estimated time to fetch it from there.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchEstimate {
    pub(super) source: SocketAddr,
    /// Time over links at their nominal rate.
    pub(super) nominal_ms: f64,
    /// Time over the links as measured.
    pub(super) expected_ms: f64,
}

impl FetchEstimate {
    /// Returns the maximum fetch time, in milliseconds, at which fetching `tokens` beats reading
    /// them.
    fn max_worthwhile_ms(&self, tokens: u64) -> f64 {
        let is_broken = self.expected_ms > self.nominal_ms * BROKEN_LINK_RATIO;
        let per_token = match is_broken {
            true => MAX_BROKEN_FETCH_MS_PER_TOKEN,
            false => MAX_FETCH_MS_PER_TOKEN,
        };
        FETCH_ALLOWANCE_MS + tokens as f64 * per_token
    }
}

/// The parts of one prompt under one version of the weights.
pub(super) struct PartSources<'a> {
    pub(super) weights: WeightNumber,
    /// Scope under which engines store and find the parts.
    pub(super) scope: String,
    /// Keys of the parts in the order of the prompt, with their sizes in tokens.
    pub(super) keys: Vec<(PartKey, u64)>,
    /// Whether the parts may be fetched from stores.
    uses_stores: bool,
    /// Engines that probably have each part cached, in random order.
    holders: Vec<Vec<&'a EndpointRow>>,
    links: &'a LinkSlowdowns,
}

impl<'a> PartSources<'a> {
    /// Looks up the parts of `prompt` under `weights`.
    pub(super) fn find(
        table: &'a EndpointTable,
        call: &EngineCall<'_>,
        weights: WeightNumber,
        rng: &mut impl Rng,
    ) -> Self {
        let scope = cache_scope(weights, call.request.isolated_workspace);
        let keys = part_keys(&scope, call.prompt);
        let mut rows: Vec<(&EndpointRow, TimeUs)> = table
            .iter()
            .filter(|row| row.endpoint.service == *call.request.service)
            .filter(|row| row.weights(&call.prompt.model) == Some(weights))
            .filter(|row| can_serve_parts(row, call.now) && !table.is_evacuated(row))
            .map(|row| (row, call.min_part_use_at(row)))
            .collect();
        rows.shuffle(rng);
        Self {
            holders: shared_parts(&keys)
                .map(|(key, _)| match table.manages_load {
                    true => latest_holders_of(&rows, *key),
                    false => holders_of(&rows, *key),
                })
                .collect(),
            links: &table.links,
            uses_stores: call.may_fetch_from_stores(weights),
            weights,
            scope,
            keys,
        }
    }

    /// Returns the best source of a part for an engine. `None` if no source is known, if reading
    /// the part is faster, or for the last part, which no other call shares.
    pub(super) fn fetch(
        &self,
        index: usize,
        row: &EndpointRow,
        call: &EngineCall<'_>,
    ) -> Option<FetchEstimate> {
        let (key, tokens) = *self.keys.get(index)?;
        let holders = self.holders.get(index)?;
        let zone = &row.endpoint.zone;
        let estimate = |fetch: StoreFetch| FetchEstimate {
            source: fetch.source,
            nominal_ms: fetch.nominal_ms,
            expected_ms: self.links.expected_ms(
                fetch.source,
                row.endpoint.address,
                fetch.nominal_ms,
                call.now,
            ),
        };
        let is_worth_it =
            |fetch: &FetchEstimate| fetch.expected_ms < fetch.max_worthwhile_ms(tokens);
        let from_engine = holders
            .iter()
            .filter(|holder| holder.instance() != row.instance())
            .map(|holder| estimate(fetch_from_engine(holder, row, tokens, call.engine)))
            .min_by(|a, b| a.expected_ms.total_cmp(&b.expected_ms))
            .filter(is_worth_it);
        if holders.len() >= WIDELY_CACHED_ENGINES {
            return from_engine;
        }
        // A store's report is authoritative, whereas an engine may have evicted a part. In that
        // case everything after the part has to be read too, however small the part itself is.
        let from_store = match self.uses_stores {
            true => call.stores.fetch(key, tokens, call.engine, zone, call.now),
            false => None,
        };
        from_store.map(estimate).filter(is_worth_it).or(from_engine)
    }

    /// Returns a source for each part, including parts that the engine probably has cached: it
    /// fetches only what it does not have, and the estimate may be wrong.
    pub(super) fn source_addresses(
        &self,
        row: &EndpointRow,
        call: &EngineCall<'_>,
    ) -> Vec<Option<SocketAddr>> {
        (0..self.keys.len())
            .map(|index| self.fetch(index, row, call))
            .map(|fetch| fetch.map(|fetch| fetch.source))
            .collect()
    }
}

/// Returns the parts that other calls may share: all but the last.
fn shared_parts(keys: &[(PartKey, u64)]) -> impl Iterator<Item = &(PartKey, u64)> {
    keys.iter().take(keys.len().saturating_sub(1))
}

/// Returns whether parts may be fetched from an engine. One that is about to leave, fails or is
/// about to get new weights has nothing to offer, and an unreachable source costs some hundred
/// milliseconds.
fn can_serve_parts(row: &EndpointRow, now: TimeUs) -> bool {
    let is_ready = row.state == EndpointState::Ready && !row.is_displaced;
    is_ready && row.reserved_until_us <= now && !row.outlier.is_ejected(now)
}

/// Returns engines that used a part within [`LATEST_USE_SPAN_US`] of its latest known use, in the
/// order of `rows`.
///
/// Load pattern: calls with a few hundred parts at their starts, and far more later parts than all
/// engines together can keep. An engine evicts a start within some seconds after it used it, and the
/// others learn that late or never. A fetch from such an engine finds nothing, and then all later
/// parts are read too, even those that the reader has cached.
fn latest_holders_of<'a>(rows: &[(&'a EndpointRow, TimeUs)], key: PartKey) -> Vec<&'a EndpointRow> {
    let used_at = |(row, since): &(&'a EndpointRow, TimeUs)| {
        row.parts.last_use(key).filter(|used_at| used_at >= since)
    };
    let uses = rows
        .iter()
        .filter_map(|entry| Some((entry.0, used_at(entry)?)));
    let uses: Vec<(&EndpointRow, TimeUs)> = uses.collect();
    let Some(latest) = uses.iter().map(|(_, used_at)| *used_at).max() else {
        return Vec::new();
    };
    let is_late = |used_at: &TimeUs| latest.since(*used_at) <= LATEST_USE_SPAN_US;
    let holders = uses.iter().filter(|(_, used_at)| is_late(used_at));
    holders.take(MAX_HOLDERS).map(|(row, _)| *row).collect()
}

fn holders_of<'a>(rows: &[(&'a EndpointRow, TimeUs)], key: PartKey) -> Vec<&'a EndpointRow> {
    let holders = rows
        .iter()
        .filter(|(row, since)| row.parts.used_since(key, *since));
    holders.take(MAX_HOLDERS).map(|(row, _)| *row).collect()
}

fn fetch_from_engine(
    holder: &EndpointRow,
    reader: &EndpointRow,
    tokens: u64,
    engine: &EngineSpec,
) -> StoreFetch {
    let factor = match holder.endpoint.zone == reader.endpoint.zone {
        true => 1.0,
        false => OTHER_ZONE_FACTOR,
    };
    let moved_ms = transfer_ms(tokens, engine.token_bytes, engine.link_mbps);
    StoreFetch {
        source: holder.endpoint.address,
        nominal_ms: ENGINE_FETCH_SETUP_MS + factor * moved_ms,
    }
}
