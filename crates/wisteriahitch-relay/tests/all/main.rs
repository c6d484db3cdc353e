//! Tests of the decisions and settings, which do no network input or output.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod cold_limit;
mod crash_evidence;
mod docs;
mod endpoint_links;
mod endpoint_lives;
mod endpoint_round;
mod endpoint_table;
mod engine_memory;
mod evacuated_zones;
mod event_log;
mod fixture;
mod gossip_message;
mod gossip_schedule;
mod leaving_instances;
mod link_slowdowns;
mod members;
mod metrics;
mod named_limit;
mod object_sources;
mod outlier;
mod overload;
mod part_sources;
mod part_stores;
mod parts;
mod permit_shares;
mod placement;
mod recent_durations;
mod regions;
mod rejoining;
mod rest;
mod retry_share;
mod rollout;
mod rollout_fleet;
mod routes;
mod settings;
mod staleness;
mod store_retry;
mod stream_events;
mod stream_versions;
mod suspect_parts;
mod suspects;
mod suspicion;
mod timely_answers;
mod wanted_weights;
