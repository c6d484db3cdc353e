//! Cache blocks on store VMs: which are known, how they are imported, saved and evicted.
//!
//! [`Tiers`] is a state machine without I/O. It takes events with the current time and returns
//! commands for the caller to carry out. `docs/design/blocks.md` describes the states of a block,
//! and `docs/design/links.md` the order of transfers and the choice of blocks to save.

mod block;
mod block_error;
mod block_state_machine;
mod block_table;
mod capacity_manager;
mod chain;
mod command;
mod context;
mod event;
mod eviction_index;
mod import_counts;
mod import_planner;
mod import_request;
mod import_right;
mod import_transfer;
mod link;
mod link_order;
mod link_table;
mod link_view;
mod planners;
mod prefetcher;
mod return_history;
mod save_counts;
mod save_job;
mod save_planner;
mod save_room;
mod save_value;
mod snapshot;
mod store_table;
mod tiers;
mod transfer;
mod use_table;

pub use block::{Block, BlockHandle, BlockIdentity, BlockLocation, Reader};
pub use block_error::BlockError;
pub use block_state_machine::BlockEvent;
pub use block_table::BlockTable;
pub use capacity_manager::{CapacityCounts, CapacityManager};
pub use chain::{ChainBlock, FinishedRequest};
pub use command::TierCommand;
pub use event::{ExportReceipt, PinGrant, ReserveOutcome, TierEvent, TransferFailure};
pub use eviction_index::EvictionIndex;
pub use import_counts::ImportCounts;
pub use import_planner::ImportPlanner;
pub use import_request::{ImportPlan, ImportStep};
pub use link::Link;
pub use link_order::{BackfillOrder, FifoOrder, LinkOrder, PriorityOrder};
pub use link_table::{LinkTable, StartedTransfer};
pub use link_view::{LinkView, RunningTransfer};
pub use prefetcher::{PrefetchCounts, Prefetcher};
pub use return_history::ReturnHistory;
pub use save_counts::SaveCounts;
pub use save_planner::SavePlanner;
pub use snapshot::{BlockSnapshot, StoreSnapshot, TierSnapshot};
pub use store_table::{StoreState, StoreTable};
pub use tiers::Tiers;
pub use transfer::{Transfer, TransferClass, TransferId};
pub use use_table::{BlockUse, UseTable};
