//! Where the parts of one prompt lie, and from where an engine may fetch them.
//!
//! A part that has been read once need not be read again: an engine fetches it from a store, or
//! from another engine that keeps it, in a third of the time and without holding up its batch.
//! What an engine keeps is believed, not known. A wrong belief costs a millisecond and the reading
//! of the part; it never gives a wrong answer, since parts are found only under the scope that
//! binds their weights and workspace.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;
use wisteriahitch_types::{TimeUs, WeightNumber};

use super::endpoint_row::{EndpointLife, EndpointRow};
use super::endpoint_table::EndpointTable;
use super::link_throughputs::LinkThroughputs;
use super::part_stores::{OTHER_ZONE_FACTOR, StoreFetch, transfer_ms};
use super::parts::{PartKey, cache_scope, part_keys};
use super::placement_request::{EngineCall, READ_TOKENS_PER_MS};
use crate::site::EngineTraits;

/// Engines that are compared as sources of one part. They are drawn anew for each call, so that a
/// part which many ask for isn't fetched from one engine by all.
const MAX_HOLDERS: usize = 8;

/// Engines from which on a part counts as held by many. Those use it all the time, so that none of
/// them has dropped it; fetched by all from the one store that keeps it, it would make them queue
/// there.
const WIDELY_CACHED_ENGINES: usize = 4;

/// Longest time for the fetch of a token that is better than reading it, in milliseconds: eight times
/// the time to read it. The caller waits for a fetch as for a reading, but the engine's other calls
/// don't; a fetch that takes still longer makes the call late by itself. Eight in place of two and a
/// half are worth 0.01 and 0.02 in the mean worth of eight loads at two of three deployments.
const MAX_FETCH_MS_PER_TOKEN: f64 = 8.0 / READ_TOKENS_PER_MS;

/// The same over a link that is broken rather than busy, two and a half times the time to read it.
const MAX_BROKEN_FETCH_MS_PER_TOKEN: f64 = 2.5 / READ_TOKENS_PER_MS;

/// Times the usual time of a fetch from which on its link counts as broken. One that many fetch over at
/// once turns slow too, and is still better than reading.
const BROKEN_LINK_RATIO: f64 = 8.0;

/// Time that any fetch may take: short parts stand at the start of prompts, and without them nothing
/// that follows is of use. It covers the start of a transfer at the slower kind of store.
const FETCH_ALLOWANCE_MS: f64 = 8.0;

/// Start of a fetch from an engine, in milliseconds; a part that isn't there costs as much.
const ENGINE_FETCH_SETUP_MS: f64 = 1.0;

/// Where a part can be fetched, and how long that takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchEstimate {
    pub(super) source: SocketAddr,
    /// Time over links as they usually are.
    pub(super) nominal_ms: f64,
    /// Time over these links as they are now.
    pub(super) expected_ms: f64,
}

impl FetchEstimate {
    /// Returns how long a fetch of so many tokens may take to be better than reading them.
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
    /// Text under which engines keep the parts.
    pub(super) scope: String,
    /// Keys of the parts in their order, with their sizes.
    pub(super) keys: Vec<(PartKey, u64)>,
    /// Engines that are believed to keep each part, in an order of chance.
    holders: Vec<Vec<&'a EndpointRow>>,
    links: &'a LinkThroughputs,
}

impl<'a> PartSources<'a> {
    /// Looks for the parts of `prompt` under `weights`.
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
                .map(|(key, _)| holders_of(&rows, *key))
                .collect(),
            links: &table.links,
            weights,
            scope,
            keys,
        }
    }

    /// Returns how an engine best fetches a part; nothing where no source is known or reading the
    /// part is better, and for the last part, which no other call has.
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
            expected_ms: fetch.nominal_ms
                * self
                    .links
                    .slowdown(fetch.source, row.endpoint.address, call.now),
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
        // What a store says is certain. Where an engine turns out to have dropped a part, all that
        // follows it has to be read too, however little the part itself is.
        let from_store = call.stores.fetch(key, tokens, call.engine, zone, call.now);
        from_store.map(estimate).filter(is_worth_it).or(from_engine)
    }

    /// Names a source for each part, also for those that the engine is believed to keep: it fetches
    /// only what it doesn't, and what is believed here may be wrong.
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

/// Returns the parts that other calls may have too: all but the last.
fn shared_parts(keys: &[(PartKey, u64)]) -> impl Iterator<Item = &(PartKey, u64)> {
    keys.iter().take(keys.len().saturating_sub(1))
}

/// Returns whether an engine may be asked for parts. One that is about to leave, fails or gets new
/// weights soon has nothing to give, and a source that is dead costs some hundred milliseconds.
fn can_serve_parts(row: &EndpointRow, now: TimeUs) -> bool {
    let is_ready = row.life == EndpointLife::Ready && !row.is_displaced;
    is_ready && row.reserved_until_us <= now && !row.outlier.is_ejected(now)
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
    engine: &EngineTraits,
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
