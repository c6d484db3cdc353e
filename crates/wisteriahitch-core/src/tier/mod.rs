//! Cache blocks in accelerator memory and in the tiers of store VMs.
//!
//! [`Tiers`] takes events and a time and gives commands to the shell. `docs/design/blocks.md`
//! tells the life of a block, and `docs/design/links.md` the order of transfers and what is saved.

mod block;
mod block_error;
mod block_life;
mod block_state;
mod block_table;
mod command;
mod context;
mod event;
mod import_planner;
mod import_request;
mod import_transfer;
mod link;
mod link_order;
mod link_table;
mod store_table;
mod tier_name;
mod tiers;
mod transfer;

pub use block::{Block, BlockHandle, BlockIdentity, Place, Reader};
pub use block_error::BlockError;
pub use block_life::LifeEvent;
pub use block_state::BlockState;
pub use block_table::BlockTable;
pub use command::TierCommand;
pub use event::{ExportReceipt, PinGrant, ReservedRoom, TierEvent, TransferFailure};
pub use import_planner::{ImportCounts, ImportPlanner};
pub use import_request::{ImportPlan, ImportStep};
pub use link::{Link, LinkView, RunningTransfer};
pub use link_order::{BackfillOrder, LinkOrder, PlainOrder, PriorityOrder};
pub use link_table::{LinkTable, StartTransfer};
pub use store_table::{StoreState, StoreTable};
pub use tier_name::TierName;
pub use tiers::Tiers;
pub use transfer::{Transfer, TransferClass, TransferId};
