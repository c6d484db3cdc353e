//! Fleet membership: soft state learned from probes and gossip (`docs/design/membership.md`).

mod entries;
mod event;
mod learning;
mod member;
mod membership;
mod membership_update;
mod membership_update_queue;
mod probing;
mod settings;
mod telling;

pub use entries::EntryAddress;
pub use event::{ListedVm, MembershipCommand, MembershipEvent};
pub use member::{Member, MemberAddresses, MemberState};
pub use membership::Membership;
pub use membership_update::MembershipUpdate;
pub use settings::MembershipSettings;
