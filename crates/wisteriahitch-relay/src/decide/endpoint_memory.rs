//! What is learnt of the parts of prompts that endpoints keep.

use wisteriahitch_types::{EndpointInstance, TimeUs};

use super::endpoint_table::EndpointTable;
use super::gossip_message::PartUpdate;
use super::parts::{EngineMemory, PartKey, PartKeyHasher};
use crate::border::PartEvent;

impl EndpointTable {
    /// Notes that an endpoint with this short name has read a part; one of no tokens is gone.
    pub fn has_part(&mut self, hash: u32, key: PartKey, tokens: u64, now: TimeUs) {
        if let Some(row) = self.row_by_short_name(hash) {
            match tokens {
                0 => row.parts.record_eviction(key),
                _ => row.parts.record_use(key, tokens, now),
            };
        }
    }

    /// Takes over what an engine tells of its memory, and returns what is news to the other daemons.
    pub fn part_events(
        &mut self,
        instance: &EndpointInstance,
        events: &[PartEvent],
        until: TimeUs,
        now: TimeUs,
    ) -> Vec<PartUpdate> {
        let Some(row) = self.get_mut(instance) else {
            return Vec::new();
        };
        row.followed_until_us = until;
        let mut news = Vec::new();
        for event in events {
            let part = &event.part;
            let key = PartKeyHasher::new(&part.model, &part.scope).key(part.id);
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
                news.push(PartUpdate {
                    endpoint: row.short_name,
                    part: key.0,
                    tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
                });
            }
        }
        news
    }

    /// Notes until when somebody follows an engine's memory, as a peer tells.
    pub fn followed(&mut self, short_name: u32, until: TimeUs) {
        if let Some(row) = self.row_by_short_name(short_name) {
            row.followed_until_us = row.followed_until_us.max(until);
        }
    }

    /// Lists which parts engines are believed to keep, for a daemon that has just started.
    pub fn engine_memory(&self, now: TimeUs) -> Vec<EngineMemory> {
        let rows = self.rows.values().filter(|row| !row.parts.is_empty());
        let memory = rows.map(|row| EngineMemory {
            endpoint: row.short_name,
            parts: row.parts.most_recent(now),
        });
        memory.collect()
    }

    /// Takes over which parts engines keep, from a daemon that has been there for longer.
    pub fn take_over(&mut self, memory: &[EngineMemory], now: TimeUs) {
        for engine in memory {
            let Some(row) = self.row_by_short_name(engine.endpoint) else {
                continue;
            };
            // The oldest first, so that the order of last uses is theirs.
            for part in engine.parts.iter().rev() {
                row.parts.merge_peer_part(part, now);
            }
        }
    }
}
