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
use super::link_paces::LinkPaces;
use super::part_stores::{Fetch, OTHER_ZONE_FACTOR, transfer_ms};
use super::parts::{PartKey, cache_scope, part_keys};
use super::placement_request::{EngineCall, READ_TOKENS_PER_MS};
use crate::site::EngineSpec;

/// Engines that are compared as sources of one part. They are drawn anew for each call, so that a
/// part which many ask for isn't fetched from one engine by all.
const MAX_HOLDERS: usize = 8;

/// Engines from which on a part counts as held by many. Those use it all the time, so that none of
/// them has dropped it; fetched by all from the one store that keeps it, it would make them queue
/// there.
const WIDELY_HELD: usize = 4;

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
const FREE_FETCH_MS: f64 = 8.0;

/// Start of a fetch from an engine, in milliseconds; a part that isn't there costs as much.
const ENGINE_FIRST_MS: f64 = 1.0;

/// Where a part can be fetched, and how long that takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PacedFetch {
    pub(super) from: SocketAddr,
    /// Time over links as they usually are.
    pub(super) usual_ms: f64,
    /// Time over these links as they are now.
    pub(super) paced_ms: f64,
}

impl PacedFetch {
    /// Returns how long a fetch of so many tokens may take to be better than reading them.
    fn longest_ms(&self, tokens: u64) -> f64 {
        let is_broken = self.paced_ms > self.usual_ms * BROKEN_LINK_RATIO;
        let per_token = match is_broken {
            true => MAX_BROKEN_FETCH_MS_PER_TOKEN,
            false => MAX_FETCH_MS_PER_TOKEN,
        };
        FREE_FETCH_MS + tokens as f64 * per_token
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
    links: &'a LinkPaces,
}

impl<'a> PartSources<'a> {
    /// Looks for the parts of `prompt` under `weights`.
    pub(super) fn find(
        table: &'a EndpointTable,
        call: &EngineCall<'_>,
        weights: WeightNumber,
        rng: &mut impl Rng,
    ) -> Self {
        let scope = cache_scope(weights, call.request.wall);
        let keys = part_keys(&scope, call.prompt);
        let mut rows: Vec<(&EndpointRow, TimeUs)> = table
            .iter()
            .filter(|row| row.endpoint.service == *call.request.service)
            .filter(|row| row.weights(&call.prompt.model) == Some(weights))
            .filter(|row| is_source(row, call.now) && !table.is_evacuated(row))
            .map(|row| (row, call.parts_kept_since(row)))
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
    ) -> Option<PacedFetch> {
        let (key, tokens) = *self.keys.get(index)?;
        let holders = self.holders.get(index)?;
        let zone = &row.endpoint.zone;
        let paced = |fetch: Fetch| PacedFetch {
            from: fetch.from,
            usual_ms: fetch.took_ms,
            paced_ms: fetch.took_ms
                * self
                    .links
                    .slowness(fetch.from, row.endpoint.address, call.now),
        };
        let is_worth_it = |fetch: &PacedFetch| fetch.paced_ms < fetch.longest_ms(tokens);
        let from_engine = holders
            .iter()
            .filter(|holder| holder.instance() != row.instance())
            .map(|holder| paced(engine_fetch(holder, row, tokens, call.engine)))
            .min_by(|a, b| a.paced_ms.total_cmp(&b.paced_ms))
            .filter(is_worth_it);
        if holders.len() >= WIDELY_HELD {
            return from_engine;
        }
        // What a store says is certain. Where an engine turns out to have dropped a part, all that
        // follows it has to be read too, however little the part itself is.
        let from_store = call.stores.fetch(key, tokens, call.engine, zone, call.now);
        from_store.map(paced).filter(is_worth_it).or(from_engine)
    }

    /// Names a source for each part, also for those that the engine is believed to keep: it fetches
    /// only what it doesn't, and what is believed here may be wrong.
    pub(super) fn addresses(
        &self,
        row: &EndpointRow,
        call: &EngineCall<'_>,
    ) -> Vec<Option<SocketAddr>> {
        (0..self.keys.len())
            .map(|index| self.fetch(index, row, call))
            .map(|fetch| fetch.map(|fetch| fetch.from))
            .collect()
    }
}

/// Returns the parts that other calls may have too: all but the last.
fn shared_parts(keys: &[(PartKey, u64)]) -> impl Iterator<Item = &(PartKey, u64)> {
    keys.iter().take(keys.len().saturating_sub(1))
}

/// Returns whether an engine may be asked for parts. One that is about to leave, fails or gets new
/// weights soon has nothing to give, and a source that is dead costs some hundred milliseconds.
fn is_source(row: &EndpointRow, now: TimeUs) -> bool {
    let is_there = row.life == EndpointLife::Ready && !row.is_displaced;
    is_there && row.reserved_until_us <= now && !row.outlier.is_ejected(now)
}

fn holders_of<'a>(rows: &[(&'a EndpointRow, TimeUs)], key: PartKey) -> Vec<&'a EndpointRow> {
    let holding = rows
        .iter()
        .filter(|(row, since)| row.parts.has(key, *since));
    holding.take(MAX_HOLDERS).map(|(row, _)| *row).collect()
}

fn engine_fetch(
    holder: &EndpointRow,
    reader: &EndpointRow,
    tokens: u64,
    engine: &EngineSpec,
) -> Fetch {
    let factor = match holder.endpoint.zone == reader.endpoint.zone {
        true => 1.0,
        false => OTHER_ZONE_FACTOR,
    };
    let moved_ms = transfer_ms(tokens, engine.token_bytes, engine.link_mbps);
    Fetch {
        from: holder.endpoint.address,
        took_ms: ENGINE_FIRST_MS + factor * moved_ms,
    }
}
