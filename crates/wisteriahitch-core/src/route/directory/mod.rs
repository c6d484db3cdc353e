//! The directory of the blocks that endpoints and store VMs hold. Its entries are hints.

mod chain_holders;
mod holders;
mod place;
mod place_allocator;
mod segment;
mod shard;
mod table;

pub use shard::shard_owner;
pub use table::{Directory, DirectorySnapshot};

pub(crate) use chain_holders::ChainHolders;
pub(crate) use holders::{Holders, Spill};
pub(crate) use place::{Holder, PlaceId, Places};
pub(crate) use shard::rendezvous_score;
