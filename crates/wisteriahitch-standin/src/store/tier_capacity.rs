//! Capacity of the memory and disk tiers of a store.

use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::store::{Tier, TierReport};

use super::refusal::StoreRefusal;

/// Capacity and used bytes of each tier.
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

    /// Returns the reports of memory and disk, in this order.
    pub(super) fn report(&self) -> (TierReport, TierReport) {
        (self.memory, self.disk)
    }

    /// Reserves bytes in a tier, or refuses if the tier has too little free space.
    pub(super) fn reserve(&mut self, tier: Tier, bytes: ByteCount) -> Result<(), StoreRefusal> {
        let report = self.get_mut(tier);
        let used_bytes = report.used_bytes + bytes;
        if used_bytes > report.capacity_bytes {
            return Err(StoreRefusal::Full);
        }
        report.used_bytes = used_bytes;
        Ok(())
    }

    /// Releases reserved bytes.
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
