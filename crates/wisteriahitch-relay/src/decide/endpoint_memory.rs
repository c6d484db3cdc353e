//! Tracks which prompt parts endpoints have cached.

use wisteriahitch_types::{EndpointInstance, TimeUs};

use super::endpoint_table::EndpointTable;
use super::gossip_message::PartUpdate;
use super::parts::{EngineMemory, PartKey, PartKeyHasher};
use crate::border::PartEvent;

impl EndpointTable {
    /// Records that the endpoint with this short name has cached a part, or has evicted it if
    /// `tokens` is 0.
    pub fn record_part(&mut self, short_name: u32, key: PartKey, tokens: u64, now: TimeUs) {
        if let Some(row) = self.row_by_short_name(short_name) {
            match tokens {
                0 => row.parts.record_eviction(key),
                _ => row.parts.record_use(key, tokens, now),
            };
        }
    }

    /// Applies events about an engine's memory that the engine itself reports. Returns the changes
    /// to send to the other daemons. `until` is the time until which the engine's reports count as
    /// complete.
    ///
    /// Where load is managed and the engine's events were followed before, a cached part that isn't
    /// known to be at this engine is passed over. The daemon that sent the call reports the shared
    /// parts of its prompt at the first event, which is earlier; the others are the ends of prompts,
    /// which no other call uses. Load pattern: engines that take in and evict thousands of parts per
    /// second, many of them ends of prompts, so that messages have no room for evictions of shared
    /// parts.
    pub fn apply_part_events(
        &mut self,
        instance: &EndpointInstance,
        events: &[PartEvent],
        until: TimeUs,
        now: TimeUs,
    ) -> Vec<PartUpdate> {
        let manages_load = self.manages_load;
        let Some(row) = self.get_mut(instance) else {
            return Vec::new();
        };
        let passes_over_unknown = manages_load && row.parts_tracked_until_us > now;
        row.parts_tracked_until_us = until;
        let mut updates = Vec::new();
        for event in events {
            let part = &event.part;
            let key = PartKeyHasher::new(&part.model, &part.scope).key(part.id);
            if passes_over_unknown && row.parts.last_use(key).is_none() {
                continue;
            }
            let tokens = if event.is_stored {
                part.tokens.get()
            } else {
                0
            };
            let is_update = match event.is_stored {
                true => row.parts.record_reported(key, tokens, now),
                false => row.parts.record_eviction(key),
            };
            if is_update {
                updates.push(PartUpdate {
                    endpoint: row.short_name,
                    part: key.0,
                    tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
                });
            }
        }
        updates
    }

    /// Records that a peer receives an engine's memory events until `until`.
    pub fn extend_parts_tracking(&mut self, short_name: u32, until: TimeUs) {
        if let Some(row) = self.row_by_short_name(short_name) {
            row.parts_tracked_until_us = row.parts_tracked_until_us.max(until);
        }
    }

    /// Lists the parts that each engine is believed to have cached, for a daemon that has just
    /// started.
    pub fn engine_memory(&self, now: TimeUs) -> Vec<EngineMemory> {
        let rows = self.rows.values().filter(|row| !row.parts.is_empty());
        let memory = rows.map(|row| EngineMemory {
            endpoint: row.short_name,
            parts: row.parts.most_recent(now),
        });
        memory.collect()
    }

    /// Adopts the lists of cached parts that another daemon has collected.
    pub fn adopt_engine_memory(&mut self, memory: &[EngineMemory], now: TimeUs) {
        for engine in memory {
            let Some(row) = self.row_by_short_name(engine.endpoint) else {
                continue;
            };
            // Oldest first, to keep the order of last use.
            for part in engine.parts.iter().rev() {
                row.parts.merge_peer_part(part, now);
            }
        }
    }
}
