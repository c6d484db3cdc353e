//! Sites of separate processes: stand-ins and daemons on loopback.

mod call;
mod ports;
mod process;
mod prompt;
mod site;
mod wait;

pub(crate) use call::{Answer, call, post_json};
pub(crate) use process::Process;
pub(crate) use prompt::{ask, prompt};
pub(crate) use site::{OTHER_SECRET, SECRET, Site, SiteOptions};
pub(crate) use wait::wait_until;
