//! Where each piece of a prompt can be imported from.

use wisteriahitch_types::{ByteCount, DurationUs, StoreId, Tier, TimeUs};

use super::{LinkView, RouteRequest};
use crate::route::directory::ChainHolders;

/// Names where one piece is imported from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source<'a> {
    pub(crate) store: &'a StoreId,
    pub(crate) tier: Tier,
}

/// Holds the best source of each piece.
pub(crate) struct Sources<'a> {
    sources: Vec<Option<Source<'a>>>,
    /// For each piece, the end of the run of importable pieces that begins with it.
    run_ends: Vec<usize>,
}

/// Most lengths of the imported part that are compared.
const MAX_CUTS: usize = 8;

/// Gives one end of an import.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut {
    /// Piece before which the import ends.
    pub(crate) end: usize,
    /// Time that it takes.
    pub(crate) transfer_us: DurationUs,
}

impl Cut {
    /// Imports nothing where so many pieces are resident.
    pub(crate) const fn none(resident: usize) -> Self {
        Self {
            end: resident,
            transfer_us: DurationUs::ZERO,
        }
    }
}

/// Adds up what is imported from one tier.
struct Load<'a> {
    source: Source<'a>,
    bytes: ByteCount,
}

impl<'a> Sources<'a> {
    /// Finds for each piece the tier that brings it soonest.
    pub(crate) fn find(
        request: &RouteRequest,
        holders: &ChainHolders<'a>,
        links: &dyn LinkView,
        now: TimeUs,
    ) -> Self {
        let mut sources = Vec::with_capacity(request.chain.blocks.len());
        for (index, piece) in request.chain.blocks.iter().enumerate() {
            let bytes = bytes_of(piece.tokens.get(), request);
            let best = holders
                .stores(index)
                .map(|(store, tier)| (links.transfer_time(store, tier, bytes, now), tier, store))
                .filter(|(time, ..)| *time < DurationUs::MAX)
                .min();
            sources.push(best.map(|(_, tier, store)| Source { store, tier }));
        }
        let run_ends = run_ends(&sources);
        Self { sources, run_ends }
    }

    /// Returns the end of the run of importable pieces that begins at `start`.
    pub(super) fn run_end(&self, start: usize) -> usize {
        self.run_ends.get(start).copied().unwrap_or(start)
    }

    /// Returns the source of a piece.
    pub(crate) fn get(&self, piece: usize) -> Option<Source<'a>> {
        self.sources.get(piece).copied().flatten()
    }

    /// Lists ends of an import that begins at `start`, with the time that each takes.
    ///
    /// The first end is `start` itself. Imports from one store share its link and follow each
    /// other; those from several stores run side by side.
    pub(crate) fn cuts(
        &self,
        start: usize,
        request: &RouteRequest,
        links: &dyn LinkView,
        now: TimeUs,
    ) -> Vec<Cut> {
        let len = self.run_end(start) - start;
        let count = len.min(MAX_CUTS);
        let mut loads: Vec<Load<'_>> = Vec::new();
        let mut cuts = vec![Cut::none(start)];
        let mut from = start;
        for step in 1..=count {
            let end = start + len * step / count;
            (from..end).for_each(|piece| self.add_piece(piece, request, &mut loads));
            cuts.push(Cut {
                end,
                transfer_us: slowest_store(&loads, links, now),
            });
            from = end;
        }
        cuts
    }

    fn add_piece(&self, piece: usize, request: &RouteRequest, loads: &mut Vec<Load<'a>>) {
        let Some(source) = self.get(piece) else {
            return;
        };
        let bytes = bytes_of(request.chain.blocks[piece].tokens.get(), request);
        let is_same = |load: &&mut Load<'_>| {
            load.source.store == source.store && load.source.tier == source.tier
        };
        match loads.iter_mut().find(is_same) {
            Some(load) => load.bytes += bytes,
            None => loads.push(Load { source, bytes }),
        }
    }
}

fn slowest_store(loads: &[Load<'_>], links: &dyn LinkView, now: TimeUs) -> DurationUs {
    let time_of =
        |load: &Load<'_>| links.transfer_time(load.source.store, load.source.tier, load.bytes, now);
    let time_of_store = |store: &StoreId| -> DurationUs {
        let of_store = loads.iter().filter(|load| load.source.store == store);
        of_store.map(time_of).sum()
    };
    let stores = loads.iter().map(|load| load.source.store);
    stores.map(time_of_store).max().unwrap_or(DurationUs::ZERO)
}

fn run_ends(sources: &[Option<Source<'_>>]) -> Vec<usize> {
    let mut ends = vec![0; sources.len()];
    let mut end = sources.len();
    for (index, source) in sources.iter().enumerate().rev() {
        if source.is_none() {
            end = index;
        }
        ends[index] = end;
    }
    ends
}

fn bytes_of(tokens: u64, request: &RouteRequest) -> ByteCount {
    ByteCount::new(tokens.saturating_mul(request.bytes_per_token.get()))
}
