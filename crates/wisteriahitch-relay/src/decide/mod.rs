//! Decisions without input or output: events and a time go in, a choice or commands come out.

pub(crate) mod backlog;
pub(crate) mod beacon;
pub(crate) mod crash_evidence;
pub(crate) mod endpoint_row;
pub(crate) mod endpoint_table;
mod fresh_news;
pub(crate) mod hubs;
pub(crate) mod link_paces;
pub(crate) mod members;
pub(crate) mod message_delay;
pub(crate) mod news_pace;
pub(crate) mod offer;
pub(crate) mod outlier;
pub(crate) mod overload;
pub(crate) mod part_sources;
mod part_store_row;
pub(crate) mod part_stores;
pub(crate) mod parts;
pub(crate) mod placement;
pub(crate) mod placement_request;
pub(crate) mod rollout;
pub(crate) mod rollout_pace;
pub(crate) mod staleness;
pub(crate) mod store_retry;
pub(crate) mod stream_events;
pub(crate) mod suspects;
pub(crate) mod wanted_weights;
