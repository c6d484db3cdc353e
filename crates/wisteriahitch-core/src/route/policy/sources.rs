//! Where each piece of a prompt can be imported from.

use wisteriahitch_types::{ByteCount, DurationUs, StoreId, Tier, TimeUs};

use super::{LinkView, RouteRequest};
use crate::route::directory::ChainHolders;

/// Names where one piece is imported from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PieceSource<'a> {
    pub(crate) store: &'a StoreId,
    pub(crate) tier: Tier,
}

/// Holds the best source of each piece.
pub(crate) struct PieceSources<'a> {
    sources: Vec<Option<PieceSource<'a>>>,
    /// For each piece, the end of the run of importable pieces that begins with it.
    importable_run_ends: Vec<usize>,
}

/// Most lengths of the imported part that are compared.
const MAX_IMPORT_OPTIONS: usize = 8;

/// Gives one end of an import.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ImportOption {
    /// Piece before which the import ends.
    pub(crate) end_piece: usize,
    /// Time that it takes.
    pub(crate) transfer_us: DurationUs,
}

impl ImportOption {
    /// Imports nothing where so many pieces are resident.
    pub(crate) const fn no_import(resident: usize) -> Self {
        Self {
            end_piece: resident,
            transfer_us: DurationUs::ZERO,
        }
    }
}

/// Adds up what is imported from one tier.
struct TierTransfer<'a> {
    source: PieceSource<'a>,
    bytes: ByteCount,
}

impl<'a> PieceSources<'a> {
    /// Finds for each piece the tier that brings it soonest.
    pub(crate) fn find(
        request: &RouteRequest,
        holders: &ChainHolders<'a>,
        links: &dyn LinkView,
        now: TimeUs,
    ) -> Self {
        let mut sources = Vec::with_capacity(request.chain.blocks.len());
        for (index, piece) in request.chain.blocks.iter().enumerate() {
            let bytes = kv_cache_bytes(piece.tokens.get(), request);
            let best = holders
                .store_tiers(index)
                .map(|(store, tier)| (links.transfer_time(store, tier, bytes, now), tier, store))
                .filter(|(time, ..)| *time < DurationUs::MAX)
                .min();
            sources.push(best.map(|(_, tier, store)| PieceSource { store, tier }));
        }
        let importable_run_ends = importable_run_ends(&sources);
        Self {
            sources,
            importable_run_ends,
        }
    }

    /// Returns the end of the run of importable pieces that begins at `start`.
    pub(super) fn importable_run_end(&self, start: usize) -> usize {
        self.importable_run_ends
            .get(start)
            .copied()
            .unwrap_or(start)
    }

    /// Returns the source of a piece.
    pub(crate) fn get(&self, piece: usize) -> Option<PieceSource<'a>> {
        self.sources.get(piece).copied().flatten()
    }

    /// Lists ends of an import that begins at `start`, with the time that each takes.
    ///
    /// The first end is `start` itself. Imports from one store share its link and follow each
    /// other; those from several stores run side by side.
    pub(crate) fn import_options(
        &self,
        start: usize,
        request: &RouteRequest,
        links: &dyn LinkView,
        now: TimeUs,
    ) -> Vec<ImportOption> {
        let len = self.importable_run_end(start) - start;
        let count = len.min(MAX_IMPORT_OPTIONS);
        let mut transfers: Vec<TierTransfer<'_>> = Vec::new();
        let mut import_options = vec![ImportOption::no_import(start)];
        let mut from = start;
        for step in 1..=count {
            let end_piece = start + len * step / count;
            (from..end_piece)
                .for_each(|piece| self.add_to_transfers(piece, request, &mut transfers));
            import_options.push(ImportOption {
                end_piece,
                transfer_us: slowest_store_time(&transfers, links, now),
            });
            from = end_piece;
        }
        import_options
    }

    fn add_to_transfers(
        &self,
        piece: usize,
        request: &RouteRequest,
        transfers: &mut Vec<TierTransfer<'a>>,
    ) {
        let Some(source) = self.get(piece) else {
            return;
        };
        let bytes = kv_cache_bytes(request.chain.blocks[piece].tokens.get(), request);
        let is_same_tier = |transfer: &&mut TierTransfer<'_>| {
            transfer.source.store == source.store && transfer.source.tier == source.tier
        };
        match transfers.iter_mut().find(is_same_tier) {
            Some(transfer) => transfer.bytes += bytes,
            None => transfers.push(TierTransfer { source, bytes }),
        }
    }
}

fn slowest_store_time(
    transfers: &[TierTransfer<'_>],
    links: &dyn LinkView,
    now: TimeUs,
) -> DurationUs {
    let transfer_time_of = |transfer: &TierTransfer<'_>| {
        links.transfer_time(
            transfer.source.store,
            transfer.source.tier,
            transfer.bytes,
            now,
        )
    };
    let total_time_of_store = |store: &StoreId| -> DurationUs {
        let from_store = transfers
            .iter()
            .filter(|transfer| transfer.source.store == store);
        from_store.map(transfer_time_of).sum()
    };
    let stores = transfers.iter().map(|transfer| transfer.source.store);
    stores
        .map(total_time_of_store)
        .max()
        .unwrap_or(DurationUs::ZERO)
}

fn importable_run_ends(sources: &[Option<PieceSource<'_>>]) -> Vec<usize> {
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

fn kv_cache_bytes(tokens: u64, request: &RouteRequest) -> ByteCount {
    ByteCount::new(tokens.saturating_mul(request.bytes_per_token.get()))
}
