//! Tests of tickets: text form, verification, limits, and what a draining issuer waits for.

use wisteriahitch_core::once::{IdempotencyKey, Ticket, TicketIssuer, TicketSecret};
use wisteriahitch_types::{Code, DurationUs, Incarnation, KeyHash, TimeUs, WorkspaceId};

const LIFETIME: DurationUs = DurationUs::from_ms(60_000);
const START: TimeUs = TimeUs::new(1_000);

fn workspace(name: &str) -> WorkspaceId {
    name.parse().unwrap()
}

fn issuer(incarnation: u64) -> TicketIssuer {
    TicketIssuer::new(Incarnation::new(incarnation), TicketSecret::new([9; 32]))
}

fn first_ticket(issuer: &mut TicketIssuer) -> Ticket {
    issuer.issue(&workspace("kandy"), 1, START, LIFETIME)[0]
}

#[test]
fn text_form_round_trips() {
    let ticket = first_ticket(&mut issuer(0xabc));
    let text = ticket.to_string();
    assert!(text.starts_with("wt1-abc-0-60001000-"), "{text}");
    assert_eq!(text.parse(), Ok(ticket));
    assert_eq!(ticket.incarnation(), Incarnation::new(0xabc));
}

#[test]
fn malformed_texts_are_refused() {
    struct Case {
        name: &'static str,
        text: String,
    }
    let mac = "0".repeat(64);
    let cases = [
        Case {
            name: "empty",
            text: String::new(),
        },
        Case {
            name: "other prefix",
            text: format!("wt2-1-0-5-{mac}"),
        },
        Case {
            name: "missing part",
            text: format!("wt1-1-0-{mac}"),
        },
        Case {
            name: "extra part",
            text: format!("wt1-1-0-5-{mac}-1"),
        },
        Case {
            name: "number with a sign",
            text: format!("wt1-+1-0-5-{mac}"),
        },
        Case {
            name: "serial too large",
            text: format!("wt1-1-99999999999999999999-5-{mac}"),
        },
        Case {
            name: "short MAC",
            text: format!("wt1-1-0-5-{}", &mac[1..]),
        },
        Case {
            name: "not hex",
            text: format!("wt1-1-0-5-{}g", &mac[1..]),
        },
    ];
    for Case { name, text } in cases {
        let error = text.parse::<Ticket>().expect_err(name);
        assert_eq!(error.code(), Code::BadKey, "{name}");
    }
}

#[test]
fn verify_checks_the_issuer_and_the_workspace() {
    struct Case {
        name: &'static str,
        workspace: &'static str,
        change: fn(String) -> String,
        expected: Option<Code>,
    }
    let cases = [
        Case {
            name: "own",
            workspace: "kandy",
            change: |t| t,
            expected: None,
        },
        Case {
            name: "other workspace",
            workspace: "galle",
            change: |t| t,
            expected: Some(Code::ForeignTicket),
        },
        Case {
            name: "later expiry",
            workspace: "kandy",
            change: |t| t.replace("-60001000-", "-90001000-"),
            expected: Some(Code::BadKey),
        },
        Case {
            name: "other serial",
            workspace: "kandy",
            change: |t| t.replace("-0-6", "-1-6"),
            expected: Some(Code::BadKey),
        },
        Case {
            name: "other incarnation",
            workspace: "kandy",
            change: |t| t.replace("wt1-5-", "wt1-6-"),
            expected: Some(Code::TicketHolderLost),
        },
    ];
    for case in cases {
        let mut issuer = issuer(5);
        let text = (case.change)(first_ticket(&mut issuer).to_string());
        let ticket: Ticket = text.parse().unwrap();
        let verified = issuer.verify(&ticket, &workspace(case.workspace));
        assert_eq!(verified.err(), case.expected, "{}", case.name);
    }
}

#[test]
fn draining_waits_only_for_unused_tickets() {
    let mut issuer = issuer(5);
    let tickets = issuer.issue(&workspace("kandy"), 2, START, LIFETIME);
    issuer.stop();
    assert!(
        issuer
            .issue(&workspace("kandy"), 1, START, LIFETIME)
            .is_empty()
    );
    for (ticket, remains) in tickets.iter().zip([true, false]) {
        let key = issuer.verify(ticket, &workspace("kandy")).unwrap();
        issuer.mark_used(&key);
        issuer.mark_used(&key);
        assert_eq!(issuer.has_redeemable_tickets(START), remains);
    }
}

#[test]
fn draining_ends_when_the_last_ticket_expires() {
    let mut issuer = issuer(5);
    first_ticket(&mut issuer);
    let expiry = START + LIFETIME;
    assert!(issuer.has_redeemable_tickets(TimeUs::new(expiry.get() - 1)));
    assert!(!issuer.has_redeemable_tickets(expiry));
}

/// Guards against one workspace getting no tickets because another requests very many and uses
/// none. Unused tickets take memory and are therefore limited; the limit must not only be a shared
/// one.
#[test]
fn unused_tickets_are_limited_per_workspace() {
    let mut issuer = issuer(5);
    let unused = issuer.issue(&workspace("kandy"), 1_000_000, START, LIFETIME);
    assert_eq!(unused.len(), 1_024);
    assert_eq!(
        issuer.issue(&workspace("galle"), 8, START, LIFETIME).len(),
        8
    );
    let later = START + LIFETIME;
    assert_eq!(
        issuer.issue(&workspace("kandy"), 8, later, LIFETIME).len(),
        8
    );
}

fn hash(key: &IdempotencyKey) -> KeyHash {
    match key {
        IdempotencyKey::Claimed { hash, .. } => *hash,
        IdempotencyKey::Ticket { .. } => panic!("expected a claimed key, got a ticket"),
    }
}

#[test]
fn claimed_keys_are_checked_and_bound_to_the_workspace() {
    let kandy = IdempotencyKey::try_claimed(&workspace("kandy"), "order-1").unwrap();
    let galle = IdempotencyKey::try_claimed(&workspace("galle"), "order-1").unwrap();
    assert_ne!(hash(&kandy), hash(&galle));
    let long = "k".repeat(256);
    for text in [
        "",
        "two words",
        "ümlaut",
        "wt1-looks-like-a-ticket",
        long.as_str(),
    ] {
        let refused = IdempotencyKey::try_claimed(&workspace("kandy"), text);
        assert_eq!(refused, Err(Code::BadKey), "{text}");
    }
}
