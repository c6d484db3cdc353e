//! The value of saving a block, and whether it is high enough.

use wisteriahitch_config::SavePolicy;
use wisteriahitch_types::{DurationUs, StoreId};

use super::context::Context;
use super::{BlockUse, ChainBlock, FinishedRequest, UseTable};

/// Minimum value at which a block is saved over an idle link: expected microseconds of prefill
/// avoided per microsecond of link time (`docs/design/links.md`).
const MIN_SAVE_VALUE: f64 = 0.1;

/// Busy share above which the required value grows no further.
const MAX_BUSY_SHARE: f64 = 0.95;

/// Returns the value of saving a block: the expected prefill time avoided divided by the link time
/// of the save.
pub(crate) fn block_value(
    request: &FinishedRequest,
    block: &ChainBlock,
    block_use: &BlockUse,
    store: &StoreId,
    uses: &UseTable,
    cx: &Context<'_>,
) -> f64 {
    let probability = uses.return_probability(&request.workspace, block_use.uses);
    let prefill = request.prefill_tokens_per_s.time_for(block.tokens);
    let transfer = cx
        .links
        .get(store)
        .map_or(DurationUs::MAX, |link| link.rate().time_for(block.bytes));
    probability * prefill.as_f64() / transfer.as_f64().max(1.0)
}

/// Returns whether `policy` allows saving a block of `value`.
pub(crate) fn is_worth_saving(
    policy: SavePolicy,
    value: f64,
    block_use: &BlockUse,
    store: &StoreId,
    cx: &Context<'_>,
) -> bool {
    match policy {
        SavePolicy::Always => true,
        SavePolicy::SecondUse => block_use.uses >= 2,
        SavePolicy::Never => false,
        SavePolicy::Learned => value >= threshold(store, cx),
    }
}

/// Returns the minimum value of a save at present; the busier the link, the higher it is.
fn threshold(store: &StoreId, cx: &Context<'_>) -> f64 {
    let busy = cx.links.busy_share(store, cx.now).min(MAX_BUSY_SHARE);
    MIN_SAVE_VALUE / (1.0 - busy)
}
