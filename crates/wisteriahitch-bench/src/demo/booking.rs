//! A booking that is sent twice through two entry VMs runs once.

use std::net::SocketAddr;

use anyhow::ensure;
use bytes::Bytes;
use http::Method;

use super::Site;
use crate::caller::{Caller, PlainAnswer};

const PATH: &str = "/bookings";
const BODY: &[u8] = br#"{"bay":3,"bike":"CP-4411"}"#;

/// Shows the case with a ticket and with the caller's own key.
pub(crate) async fn show(site: &Site) -> anyhow::Result<()> {
    let caller = site.caller();
    let tickets = caller.tickets(site.entries[0], 1).await?;
    ensure!(!tickets.is_empty(), "no ticket was issued");
    send_twice(site, &caller, &tickets[0], "ticket").await?;
    let own_key = format!("booking-{}", std::process::id());
    send_twice(site, &caller, &own_key, "caller's own key").await
}

async fn send_twice(site: &Site, caller: &Caller, key: &str, kind: &str) -> anyhow::Result<()> {
    let (one, other) = tokio::join!(
        book(caller, site.entries[1], key),
        book(caller, site.entries[2], key),
    );
    let (one, other) = (one?, other?);
    ensure!(
        one.body == other.body,
        "the two copies got different answers"
    );
    let runs = site.runs(key).await?;
    println!("booking with {kind}: sent twice through two entry VMs, ran {runs} time(s)");
    ensure!(runs == 1, "the booking ran {runs} times");
    Ok(())
}

async fn book(caller: &Caller, entry: SocketAddr, key: &str) -> anyhow::Result<PlainAnswer> {
    let body = Bytes::from_static(BODY);
    Ok(caller
        .plain(entry, Method::POST, PATH, Some(key), body)
        .await?)
}
