//! Faults and counters of a stand-in store.

use serde::{Deserialize, Serialize};

/// Names what a stand-in store does wrong on demand.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It has no room for another block.
    Full,
    /// Its link takes this many times as long.
    SlowFactor(u32),
    /// It changes a byte in this many reads.
    CorruptReads(u64),
    /// It leaves out the end in this many reads.
    ShortReads(u64),
    /// It doesn't answer.
    Freeze,
}

/// Body of `POST /control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreControl {
    /// Fault to show from now on, in place of the one before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<StoreFault>,
    /// Whether the VM will go away soon.
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
    /// Bytes that readers were sent.
    pub read_bytes: u64,
    /// Blocks that became readable and were read at least once.
    pub blocks_later_read: u64,
    /// Bytes of transfers that a caller waits for.
    pub wait_bytes: u64,
    /// Bytes of transfers that nobody waits for.
    pub save_bytes: u64,
    /// Reservations without room.
    pub refused_full: u64,
    /// Reads that were changed on demand.
    pub corrupted_reads: u64,
    /// Reads that were cut on demand.
    pub short_reads: u64,
}

impl StoreFault {
    /// Uses up one read of a fault that hits a number of reads, and returns what to do to it.
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

/// Names what is done to one read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadFault {
    None,
    Corrupt,
    Short,
}
