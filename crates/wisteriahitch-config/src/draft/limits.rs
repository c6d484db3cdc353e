//! Reads `[limits]`.

use wisteriahitch_types::{Code, Share};

use super::Draft;
use crate::Limits;
use crate::read::{TableReader, duration_keys};

/// Minimum and maximum time to keep an answer, in milliseconds.
const ANSWER_RETENTION_RANGE_MS: (u64, u64) = (1_000, 30 * 24 * 3_600_000);
/// Minimum and maximum lifetime of a ticket, in milliseconds.
const TICKET_LIFETIME_RANGE_MS: (u64, u64) = (1_000, 3_600_000);
/// Minimum and maximum time to cache an answer of `GET /v1/entries`, in milliseconds.
const ENTRIES_TTL_RANGE_MS: (u64, u64) = (100, 600_000);
const MAX_ROLLOUT_PARALLEL: u32 = 64;

pub(super) fn read(top: &TableReader<'_, '_>, draft: &mut Draft) {
    let Some(table) = top.table("limits") else {
        return;
    };
    let default = Limits::default();
    let duration = |keys, (low, high): (u64, u64)| table.duration(keys, low..=high);
    let limits = Limits {
        rollout_parallel: table
            .number_u32("rollout_parallel", 1..=MAX_ROLLOUT_PARALLEL)
            .unwrap_or(default.rollout_parallel),
        answer_kept_us: duration(duration_keys!("answer_kept"), ANSWER_RETENTION_RANGE_MS)
            .unwrap_or(default.answer_kept_us),
        ticket_lifetime_us: duration(duration_keys!("ticket_lifetime"), TICKET_LIFETIME_RANGE_MS)
            .unwrap_or(default.ticket_lifetime_us),
        entries_ttl_us: duration(duration_keys!("entries_ttl"), ENTRIES_TTL_RANGE_MS)
            .unwrap_or(default.entries_ttl_us),
        retry_share: table
            .optional::<Share>("retry_share")
            .map_or(default.retry_share, Share::get),
    };
    // Otherwise a caller could repeat a request with a valid ticket after its answer was deleted.
    if limits.answer_kept_us < limits.ticket_lifetime_us {
        let message = "`answer_kept` is shorter than `ticket_lifetime`";
        table
            .log()
            .add(Code::ConfigContradiction, table.location(), message);
    }
    draft.limits = limits;
    table.finish();
}
