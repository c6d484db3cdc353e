//! Daemons among each other: membership, configuration, leases, orders and draining.

mod members;
mod rendezvous;

pub use members::{
    EntryAddress, Member, MemberAddresses, MemberState, Membership, MembershipCommand,
    MembershipEvent, MembershipSettings, News, VmNotice,
};
pub use rendezvous::Rendezvous;
