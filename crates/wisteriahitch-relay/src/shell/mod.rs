//! The shell: carries the decisions out over the network.

mod answer_body;
mod attempt;
mod beacons;
mod budgets;
pub(crate) mod daemon;
mod drain;
mod durations;
mod entries;
mod flight;
mod orders;
mod part_news;
mod peers;
mod pipeline;
mod registration;
mod server;
mod shared;
mod site_state;
mod stream_body;
mod trace;
pub(crate) mod watch;
