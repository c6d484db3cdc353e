//! Sizes of a site, scaled so that a minute shows what takes an hour there.
//!
//! `docs/MEASUREMENTS.md` says which of them come from the sites and which are assumed.

use serde::{Deserialize, Serialize};
use wisteriahitch::types::{ByteCount, ByteRate, DurationUs, TokenCount, TokenRate};

use super::SiteName;

/// Gives the least and the greatest of a number that is drawn evenly.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Least.
    pub least: u64,
    /// Greatest.
    pub greatest: u64,
}

/// Names a kind of prompt.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassName {
    /// A long history or contract, which returns.
    Document,
    /// A short question.
    Short,
    /// The tagging of a card or an order.
    Tag,
}

/// Describes one kind of prompt.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Kind.
    pub name: ClassName,
    /// Adapter that it is asked of.
    pub adapter: &'static str,
    /// Part of the conversations that begin as this kind.
    pub share: f64,
    /// Tokens of the prompt at its first visit.
    pub prompt_tokens: Span,
    /// Tokens that each return adds.
    pub added_tokens: Span,
    /// Part of the conversations that never return.
    pub one_visit_share: f64,
    /// Returns of the others.
    pub returns: Span,
    /// Tokens of an answer.
    pub answer_tokens: Span,
    /// Longest wait for the first token that is in time, as the site's rules say.
    pub deadline_us: DurationUs,
}

/// Holds the sizes of one site.
#[derive(Clone, Debug)]
pub struct SiteSizes {
    /// Site.
    pub name: SiteName,
    /// Entry VMs.
    pub daemons: usize,
    /// Speed at which one endpoint reads prompts.
    pub prefill_tokens_per_s: TokenRate,
    /// Tokens whose KV cache one endpoint holds.
    pub kv_capacity_tokens: TokenCount,
    /// Requests that one endpoint runs at once.
    pub batch_slots: u64,
    /// Time between two tokens.
    pub decode_us: DurationUs,
    /// Length of the KV cache of one token.
    pub bytes_per_token: ByteCount,
    /// Speed of the link of each store VM, in the order of the example.
    pub link_bytes_per_s: [ByteRate; 2],
    /// Memory of each store VM.
    pub memory_bytes: [ByteCount; 2],
    /// Disk of each store VM.
    pub disk_bytes: [ByteCount; 2],
    /// Time that a plain call takes.
    pub plain_work_us: DurationUs,
    /// Plain calls that may be repeated, a second.
    pub lookups_per_s: f64,
    /// Plain calls that may not be repeated, a second.
    pub orders_per_s: f64,
    /// Paths of calls that may be repeated.
    pub lookup_path: &'static str,
    /// Paths of calls that may not be repeated.
    pub order_paths: [&'static str; 2],
    /// Middle of the time before a prompt returns.
    pub gap_us: DurationUs,
    /// Kinds of prompts.
    pub classes: [Class; 3],
}

const MB: u64 = 1_000_000;

impl SiteSizes {
    /// Returns the sizes of a site.
    pub fn of(name: SiteName) -> Self {
        match name {
            SiteName::Chainline => chainline(),
            SiteName::Lanyu => lanyu(),
        }
    }
}

fn chainline() -> SiteSizes {
    SiteSizes {
        name: SiteName::Chainline,
        daemons: 6,
        prefill_tokens_per_s: TokenRate::new(20_000),
        kv_capacity_tokens: TokenCount::new(60_000),
        batch_slots: 16,
        decode_us: DurationUs::from_ms(5),
        bytes_per_token: ByteCount::new(64),
        link_bytes_per_s: [ByteRate::new(20 * MB), ByteRate::new(5 * MB)],
        memory_bytes: [ByteCount::new(64 * MB), ByteCount::new(16 * MB)],
        disk_bytes: [ByteCount::new(256 * MB), ByteCount::new(64 * MB)],
        plain_work_us: DurationUs::from_ms(20),
        lookups_per_s: 12.0,
        orders_per_s: 4.0,
        lookup_path: "/stock/7",
        order_paths: ["/bookings", "/stock/pulls"],
        gap_us: DurationUs::from_ms(10_000),
        classes: [
            Class {
                name: ClassName::Document,
                adapter: "history",
                share: 0.25,
                prompt_tokens: span(4_000, 16_000),
                added_tokens: span(40, 400),
                one_visit_share: 0.2,
                returns: span(1, 5),
                answer_tokens: span(16, 48),
                deadline_us: DurationUs::from_ms(8_000),
            },
            short("parts", span(200, 1_800), DurationUs::from_ms(5_000)),
            tag("jobcard", DurationUs::from_ms(20_000)),
        ],
    }
}

fn lanyu() -> SiteSizes {
    SiteSizes {
        name: SiteName::Lanyu,
        daemons: 8,
        kv_capacity_tokens: TokenCount::new(80_000),
        link_bytes_per_s: [ByteRate::new(20 * MB), ByteRate::new(5 * MB)],
        memory_bytes: [ByteCount::new(96 * MB), ByteCount::new(16 * MB)],
        disk_bytes: [ByteCount::new(384 * MB), ByteCount::new(64 * MB)],
        lookup_path: "/orders/7",
        order_paths: ["/orders", "/dispatches"],
        gap_us: DurationUs::from_ms(12_000),
        classes: [
            Class {
                name: ClassName::Document,
                adapter: "contract",
                share: 0.25,
                prompt_tokens: span(12_000, 24_000),
                added_tokens: span(40, 400),
                one_visit_share: 0.2,
                returns: span(2, 6),
                answer_tokens: span(16, 48),
                deadline_us: DurationUs::from_ms(30_000),
            },
            short("quote", span(200, 1_800), DurationUs::from_ms(6_000)),
            tag("order-tag", DurationUs::from_ms(30_000)),
        ],
        ..chainline()
    }
}

fn short(adapter: &'static str, prompt_tokens: Span, deadline_us: DurationUs) -> Class {
    Class {
        name: ClassName::Short,
        adapter,
        share: 0.4,
        prompt_tokens,
        added_tokens: span(1, 1),
        one_visit_share: 1.0,
        returns: span(1, 1),
        answer_tokens: span(16, 48),
        deadline_us,
    }
}

fn tag(adapter: &'static str, deadline_us: DurationUs) -> Class {
    Class {
        name: ClassName::Tag,
        adapter,
        share: 0.35,
        prompt_tokens: span(60, 300),
        added_tokens: span(1, 1),
        one_visit_share: 1.0,
        returns: span(1, 1),
        answer_tokens: span(2, 8),
        deadline_us,
    }
}

const fn span(least: u64, greatest: u64) -> Span {
    Span { least, greatest }
}
