//! Background tasks of a daemon.

mod capacity;
mod endpoint_changes;
mod endpoints;
mod housekeeping;
mod in_flight;
mod shares;
mod stores;
mod vm_list;

pub(crate) use endpoints::run_endpoints;
pub(crate) use housekeeping::run_housekeeping;
pub(crate) use stores::run_stores;
pub(crate) use vm_list::run_vm_list;
