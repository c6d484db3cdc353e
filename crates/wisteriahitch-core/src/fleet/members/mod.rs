//! Fleet membership: soft state learned from probes and gossip (`docs/design/membership.md`).

mod entries;
mod event;
mod learning;
mod member;
mod membership;
mod news;
mod news_queue;
mod probing;
mod settings;
mod telling;

pub use entries::EntryAddress;
pub use event::{MembershipCommand, MembershipEvent, VmNotice};
pub use member::{Member, MemberAddresses, MemberState};
pub use membership::Membership;
pub use news::News;
pub use settings::MembershipSettings;
