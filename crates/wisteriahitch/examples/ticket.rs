//! Issues a ticket, redeems it, and shows what a repeat and a misuse get.
//!
//! Run it with `cargo run -p wisteriahitch --example ticket`; `docs/design/at-most-once.md` says
//! why a ticket lets a request run at most once.

use std::sync::Arc;

use anyhow::{Context, ensure};
use wisteriahitch::core::once::{
    Decision, Fingerprint, IdempotencyTable, StoredAnswer, TableLimits, TicketIssuer, TicketSecret,
    WaiterId,
};
use wisteriahitch::types::{Code, DurationUs, Incarnation, TimeUs, WorkspaceId};

const NOW: TimeUs = TimeUs::new(1_000);
const LIFETIME_US: DurationUs = DurationUs::from_ms(60_000);

fn main() -> anyhow::Result<()> {
    let incarnation = Incarnation::new(7);
    let workspace: WorkspaceId = "kandy-central".parse()?;
    let mut issuer = TicketIssuer::new(incarnation, TicketSecret::new([1; 32]));
    let mut table = IdempotencyTable::new(incarnation, TableLimits::default());

    let tickets = issuer.issue(&workspace, 1, NOW, LIFETIME_US);
    let ticket = tickets.first().context("no ticket was issued")?;
    println!("issued:  {ticket}");

    let key = issuer
        .verify(ticket, &workspace)
        .map_err(|code| anyhow::anyhow!("{code}"))?;
    let booking = Fingerprint::new(&workspace, "POST", "/bookings", b"bay 3");
    let first = table.submit(&key, booking, WaiterId::new(1), NOW);
    ensure!(first == Decision::Run, "the first copy must run: {first:?}");
    issuer.mark_used(&key);
    ensure!(table.try_dispatch(&key), "the first copy may be sent");
    println!("redeemed: the first copy runs");

    let answer = Arc::new(StoredAnswer {
        status: 201,
        content_type: None,
        body: b"booked".to_vec(),
    });
    table.record_answer(&key, Arc::clone(&answer), NOW);
    let repeat = table.submit(&key, booking, WaiterId::new(2), NOW);
    ensure!(repeat == Decision::Answer(answer), "a repeat: {repeat:?}");
    println!("repeated: the same answer, and nothing runs");

    let other = Fingerprint::new(&workspace, "POST", "/bookings", b"bay 4");
    let misuse = table.submit(&key, other, WaiterId::new(3), NOW);
    ensure!(misuse == Decision::Refuse(Code::KeyReused), "{misuse:?}");
    println!(
        "misused:  {} {}",
        Code::KeyReused,
        Code::KeyReused.summary()
    );
    Ok(())
}
