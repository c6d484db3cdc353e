//! Selection of the store VM and tier that each piece of a prompt is imported from.

use wisteriahitch_types::{ByteCount, DurationUs, StoreId, Tier, TimeUs};

use super::{LinkView, RouteRequest};
use crate::route::directory::ChainHolders;

/// The store VM and tier that one piece is imported from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PieceSource<'a> {
    pub(crate) store: &'a StoreId,
    pub(crate) tier: Tier,
}

/// The fastest source of each piece of a prompt.
pub(crate) struct PieceSources<'a> {
    /// By piece index; `None` for a piece that can't be imported.
    sources: Vec<Option<PieceSource<'a>>>,
    /// For each piece, the exclusive end of the run of importable pieces that starts there.
    importable_run_ends: Vec<usize>,
}

/// Maximum number of import lengths that are compared, besides no import.
const MAX_IMPORT_OPTIONS: usize = 8;

/// One possible import: all pieces from a given start to before `end_piece`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ImportOption {
    /// Exclusive end of the imported pieces.
    pub(crate) end_piece: usize,
    /// Estimated time of the import.
    pub(crate) transfer_us: DurationUs,
}

impl ImportOption {
    /// Returns the option that imports nothing after the first `resident` pieces.
    pub(crate) const fn no_import(resident: usize) -> Self {
        Self {
            end_piece: resident,
            transfer_us: DurationUs::ZERO,
        }
    }
}

/// The bytes that are imported from one tier of one store VM.
struct TierTransfer<'a> {
    source: PieceSource<'a>,
    bytes: ByteCount,
}

impl<'a> PieceSources<'a> {
    /// Finds the source of each piece with the shortest transfer time.
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

    /// Returns the exclusive end of the run of importable pieces that starts at `start`.
    pub(super) fn importable_run_end(&self, start: usize) -> usize {
        self.importable_run_ends
            .get(start)
            .copied()
            .unwrap_or(start)
    }

    /// Returns the source of a piece, or `None` if it can't be imported.
    pub(crate) fn get(&self, piece: usize) -> Option<PieceSource<'a>> {
        self.sources.get(piece).copied().flatten()
    }

    /// Lists the imports that start at `start`, in increasing length, with their transfer times.
    ///
    /// The first one is empty. Imports from one store VM share its link and run one after the
    /// other; imports from several store VMs run in parallel.
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

/// Returns the time until the slowest store VM has sent its part.
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
