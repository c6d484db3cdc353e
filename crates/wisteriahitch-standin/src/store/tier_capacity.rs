//! Room in the memory and on the disk of a store.

use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::store::{Tier, TierReport};

use super::refusal::StoreRefusal;

/// Counts the room that is taken in each tier.
pub(super) struct TierCapacity {
    memory: TierReport,
    disk: TierReport,
}

impl TierCapacity {
    pub(super) fn new(memory_bytes: ByteCount, disk_bytes: ByteCount) -> Self {
        let empty = |capacity_bytes| TierReport {
            capacity_bytes,
            used_bytes: ByteCount::ZERO,
        };
        Self {
            memory: empty(memory_bytes),
            disk: empty(disk_bytes),
        }
    }

    /// Returns memory and disk.
    pub(super) fn report(&self) -> (TierReport, TierReport) {
        (self.memory, self.disk)
    }

    /// Takes room, unless the tier has too little.
    pub(super) fn reserve(&mut self, tier: Tier, bytes: ByteCount) -> Result<(), StoreRefusal> {
        let report = self.get_mut(tier);
        let used_bytes = report.used_bytes + bytes;
        if used_bytes > report.capacity_bytes {
            return Err(StoreRefusal::Full);
        }
        report.used_bytes = used_bytes;
        Ok(())
    }

    /// Gives room back.
    pub(super) fn release(&mut self, tier: Tier, bytes: ByteCount) {
        let report = self.get_mut(tier);
        report.used_bytes = report.used_bytes - bytes;
    }

    fn get_mut(&mut self, tier: Tier) -> &mut TierReport {
        match tier {
            Tier::Memory => &mut self.memory,
            Tier::Disk => &mut self.disk,
        }
    }
}
