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
mod lease;
mod next_step;
mod orders;
mod part_news;
mod peer_state;
mod peers;
mod pipeline;
mod registration;
mod request_body;
mod routed;
mod server;
mod shared;
mod site_state;
mod stream_body;
mod trace;
mod transfers;
mod watch;
mod watch_state;
