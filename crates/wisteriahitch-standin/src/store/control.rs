//! Faults and counters of a stand-in store.

use serde::{Deserialize, Serialize};

/// Fault that a stand-in store shows on demand.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// New blocks are refused as if the tier were full.
    Full,
    /// Transfers over the link take this many times as long.
    SlowFactor(u32),
    /// This many reads return content with one byte changed.
    CorruptReads(u64),
    /// This many reads return only the first half of the content.
    ShortReads(u64),
    /// Requests are not answered and transfers stall.
    Freeze,
}

/// Body of `POST /control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreControl {
    /// Fault that replaces the current one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<StoreFault>,
    /// Whether the store reports that its VM is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
}

/// Counts what a stand-in store has done since it started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Blocks that became readable.
    pub saved_blocks: u64,
    /// Bytes of the blocks that became readable.
    pub saved_bytes: u64,
    /// Reads that began.
    pub read_blocks: u64,
    /// Bytes of the reads that began.
    pub read_bytes: u64,
    /// Blocks that were read at least once.
    pub blocks_later_read: u64,
    /// Bytes of transfers of class `wait`, which a caller waits for.
    pub wait_bytes: u64,
    /// Bytes of transfers of class `save`, which nobody waits for.
    pub save_bytes: u64,
    /// Reservations that were refused as full.
    pub refused_full: u64,
    /// Reads whose content was changed by a fault.
    pub corrupted_reads: u64,
    /// Reads whose content was truncated by a fault.
    pub short_reads: u64,
}

impl StoreFault {
    /// Returns the fault for one read and counts it against the remaining reads.
    pub(super) fn consume_read_fault(&mut self) -> ReadFault {
        let (remaining, fault) = match self {
            Self::CorruptReads(remaining) => (remaining, ReadFault::Corrupt),
            Self::ShortReads(remaining) => (remaining, ReadFault::Short),
            _ => return ReadFault::None,
        };
        if *remaining == 0 {
            return ReadFault::None;
        }
        *remaining -= 1;
        fault
    }
}

/// Fault of one read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadFault {
    None,
    Corrupt,
    Short,
}
