//! The directory: comparison with a reference map, event gaps, sweeps and shards.

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;
use wisteriahitch_core::route::{Directory, Piece, PieceChain, shard_owner};
use wisteriahitch_types::{BlockKey, DaemonId, Tier, TokenCount};

use crate::generated::seeded_config;
use crate::route_fixture::{chain, endpoint, store, words};

const KEYS: u8 = 24;
const HOLDERS: usize = 7;

fn key(number: u8) -> BlockKey {
    BlockKey::derive("wisteriahitch test key", &[&[number]])
}

fn chain_of(numbers: impl Iterator<Item = u8>) -> PieceChain {
    let piece = |number| Piece {
        key: key(number),
        tokens: TokenCount::new(10),
    };
    let blocks: Vec<Piece> = numbers.map(piece).collect();
    PieceChain {
        prompt_tokens: TokenCount::new(10 * blocks.len() as u64),
        blocks,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Stored(usize, u8),
    Evicted(usize, u8),
    Listing(usize, Vec<u8>),
    Gap(usize),
    EndpointRemoved(usize),
    StoreStored(Tier, u8),
    StoreEvicted(Tier, u8),
    StoreListing(Vec<(u8, Tier)>),
    StoreRemoved,
    Sweep(usize),
}

fn tier() -> impl Strategy<Value = Tier> {
    prop_oneof![Just(Tier::Memory), Just(Tier::Disk)]
}

fn event() -> impl Strategy<Value = Event> {
    let keys = || proptest::collection::vec(0..KEYS, 0..20);
    prop_oneof![
        8 => (0..HOLDERS, 0..KEYS).prop_map(|(holder, key)| Event::Stored(holder, key)),
        3 => (0..HOLDERS, 0..KEYS).prop_map(|(holder, key)| Event::Evicted(holder, key)),
        2 => (0..HOLDERS, keys()).prop_map(|(holder, keys)| Event::Listing(holder, keys)),
        1 => (0..HOLDERS).prop_map(Event::Gap),
        1 => (0..HOLDERS).prop_map(Event::EndpointRemoved),
        4 => (tier(), 0..KEYS).prop_map(|(tier, key)| Event::StoreStored(tier, key)),
        2 => (tier(), 0..KEYS).prop_map(|(tier, key)| Event::StoreEvicted(tier, key)),
        1 => proptest::collection::vec((0..KEYS, tier()), 0..20).prop_map(Event::StoreListing),
        1 => Just(Event::StoreRemoved),
        2 => (1_usize..600).prop_map(Event::Sweep),
    ]
}

/// A simple model of what the directory stores.
#[derive(Default)]
struct ReferenceMap {
    held_keys: HashMap<usize, HashSet<u8>>,
    suspect_endpoints: HashSet<usize>,
    tiers: HashSet<(Tier, u8)>,
}

impl ReferenceMap {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Stored(holder, key) => {
                self.held_keys.entry(*holder).or_default().insert(*key);
            }
            Event::Evicted(holder, key) => {
                self.held_keys.entry(*holder).or_default().remove(key);
            }
            Event::Listing(holder, keys) => {
                self.suspect_endpoints.remove(holder);
                self.held_keys
                    .insert(*holder, keys.iter().copied().collect());
            }
            Event::Gap(holder) => {
                self.suspect_endpoints.insert(*holder);
            }
            Event::EndpointRemoved(holder) => {
                self.suspect_endpoints.remove(holder);
                self.held_keys.remove(holder);
            }
            Event::StoreStored(tier, key) => {
                self.tiers.insert((*tier, *key));
            }
            Event::StoreEvicted(tier, key) => {
                self.tiers.remove(&(*tier, *key));
            }
            Event::StoreListing(blocks) => {
                self.tiers = blocks.iter().map(|(key, tier)| (*tier, *key)).collect();
            }
            Event::StoreRemoved => self.tiers.clear(),
            Event::Sweep(_) => {}
        }
    }

    fn prefix(&self, holder: usize, first: u8) -> u64 {
        if self.suspect_endpoints.contains(&holder) {
            return 0;
        }
        let Some(held_keys) = self.held_keys.get(&holder) else {
            return 0;
        };
        (first..KEYS)
            .take_while(|key| held_keys.contains(key))
            .count() as u64
    }

    fn tier_of(&self, key: u8) -> Option<Tier> {
        let tiers = [Tier::Memory, Tier::Disk];
        tiers
            .into_iter()
            .find(|tier| self.tiers.contains(&(*tier, key)))
    }
}

fn apply(directory: &mut Directory, event: &Event) {
    let hub = store("hub-cache");
    match event {
        Event::Stored(holder, number) => directory.record_stored(&endpoint(*holder), &key(*number)),
        Event::Evicted(holder, number) => {
            directory.record_evicted(&endpoint(*holder), &key(*number))
        }
        Event::Listing(holder, numbers) => {
            let keys: Vec<BlockKey> = numbers.iter().map(|number| key(*number)).collect();
            directory.replace_endpoint_listing(&endpoint(*holder), &keys);
        }
        Event::Gap(holder) => directory.mark_event_gap(&endpoint(*holder)),
        Event::EndpointRemoved(holder) => directory.remove_endpoint(&endpoint(*holder)),
        Event::StoreStored(tier, number) => {
            directory.record_tier_stored(&hub, *tier, &key(*number))
        }
        Event::StoreEvicted(tier, number) => {
            directory.record_tier_evicted(&hub, *tier, &key(*number))
        }
        Event::StoreListing(blocks) => {
            let blocks: Vec<(BlockKey, Tier)> = blocks
                .iter()
                .map(|(number, tier)| (key(*number), *tier))
                .collect();
            directory.replace_store_listing(&hub, &blocks);
        }
        Event::StoreRemoved => directory.remove_store(&hub),
        Event::Sweep(segments) => directory.sweep(*segments),
    }
}

proptest! {
    #![proptest_config(seeded_config(128, 5))]

    #[test]
    fn answers_match_a_reference_map(events in proptest::collection::vec(event(), 1..60)) {
        let mut directory = Directory::default();
        let mut reference = ReferenceMap::default();
        let chains: Vec<PieceChain> = (0..KEYS).step_by(3).map(|first| chain_of(first..KEYS)).collect();
        for event in &events {
            apply(&mut directory, event);
            reference.apply(event);
            let tiers: Vec<Option<Tier>> = directory
                .tier_locations(&chains[0])
                .into_iter()
                .map(|place| place.map(|(_, tier)| tier))
                .collect();
            let expected: Vec<Option<Tier>> = (0..KEYS).map(|key| reference.tier_of(key)).collect();
            prop_assert_eq!(tiers, expected);
            for holder in 0..HOLDERS {
                for (chain, first) in chains.iter().zip((0..KEYS).step_by(3)) {
                    let tokens = directory.resident_prefix_tokens(&endpoint(holder), chain);
                    prop_assert_eq!(tokens.get(), 10 * reference.prefix(holder, first));
                }
            }
        }
    }
}

/// Requests must not be attracted to an endpoint that computes everything again. It stores blocks,
/// then its events have a gap in which it evicted one, so entries from before the gap must not be
/// trusted.
#[test]
fn event_gap_distrusts_entries_until_the_next_listing() {
    let chain = chain("kandy", &words(30));
    let keys: Vec<BlockKey> = chain.blocks.iter().map(|piece| piece.key).collect();
    let mut directory = Directory::default();
    directory.replace_endpoint_listing(&endpoint(1), &keys);
    directory.mark_event_gap(&endpoint(1));
    directory.mark_event_gap(&endpoint(2));
    directory.record_stored(&endpoint(2), &keys[0]);
    directory.record_stored(&endpoint(1), &keys[0]);
    assert_eq!(
        directory.resident_prefix_tokens(&endpoint(1), &chain).get(),
        0
    );
    assert_eq!(
        directory.resident_prefix_tokens(&endpoint(2), &chain).get(),
        0
    );
    assert_eq!(directory.snapshot().suspect_holders, 2);
    directory.replace_endpoint_listing(&endpoint(1), &keys[..2]);
    assert_eq!(
        directory.resident_prefix_tokens(&endpoint(1), &chain).get(),
        20
    );
    assert_eq!(directory.snapshot().suspect_holders, 1);
}

/// The directory must not grow while endpoints hold no more than before. An endpoint that is listed
/// again and again with other blocks leaves entries of replaced listings until a sweep removes
/// them.
#[test]
fn sweeps_remove_entries_of_replaced_listings() {
    let mut directory = Directory::default();
    let whole_sweep = 256;
    for round in 0..70_000_u32 {
        let key = BlockKey::derive("wisteriahitch test key", &[&round.to_le_bytes()]);
        directory.replace_endpoint_listing(&endpoint(1), &[key]);
        directory.sweep(8);
    }
    directory.sweep(whole_sweep);
    assert_eq!(directory.snapshot().blocks, 1);
    assert_eq!(directory.snapshot().holders, 1);
}

#[test]
fn removed_daemon_moves_only_its_own_keys() {
    let daemons: Vec<DaemonId> = (0..9).map(|n| format!("d{n}").parse().unwrap()).collect();
    let remaining = &daemons[1..];
    let mut keys_by_daemon = HashMap::new();
    for number in 0..2_000_u32 {
        let key = BlockKey::derive("wisteriahitch test key", &[&number.to_le_bytes()]);
        let before = shard_owner(&key, &daemons).unwrap();
        let after = shard_owner(&key, remaining).unwrap();
        *keys_by_daemon.entry(before).or_insert(0) += 1;
        assert!(before == after || *before == daemons[0]);
    }
    assert_eq!(keys_by_daemon.len(), 9);
    assert!(
        keys_by_daemon
            .values()
            .all(|count| (150..300).contains(count)),
        "{keys_by_daemon:?}"
    );
    assert_eq!(shard_owner(&key(1), &[]), None);
}
