//! Reads `[[rules]]`.

use toml::de::DeValue;
use wisteriahitch_types::{Code, DurationUs, RuleName, Share};

use super::{Draft, condition};
use crate::read::{FromValue, Located, Location, TableReader, duration_keys};
use crate::{Action, Condition, Refusal, Route, Rule, SavePolicy};

const DEFAULT_PRIORITY: u32 = 4;
const MAX_PRIORITY: u32 = 9;
const DEFAULT_DEADLINE: DurationUs = DurationUs::from_ms(60_000);
const MAX_DEADLINE_MS: u64 = 3_600_000;
const DEFAULT_RETRY_AFTER: DurationUs = DurationUs::from_ms(1_000);
const MAX_RETRY_AFTER_MS: u64 = 24 * 3_600_000;
const MAX_REASON_CHARS: usize = 300;

/// A rule with the locations of its parts.
#[derive(Debug)]
pub(crate) struct DraftRule {
    /// The rule; `None` if any part of it could not be read.
    pub(crate) rule: Option<Rule>,
    /// Location of the rule.
    pub(crate) location: Location,
    /// Location of its condition.
    pub(crate) when_location: Location,
    /// Location of its action.
    pub(crate) then_location: Location,
    /// Locations of the keys in [`ENGINE_KEYS`] that the rule contains.
    pub(crate) engine_key_locations: Vec<Location>,
}

/// Keys of a route that apply only to engines, not to plain services.
const ENGINE_KEYS: [&str; 3] = ["adapter", "first_token_weight", "save"];

impl FromValue for SavePolicy {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let text = String::from_value(value)?;
        match text.as_str() {
            "learned" => Ok(SavePolicy::Learned),
            "always" => Ok(SavePolicy::Always),
            "second_use" => Ok(SavePolicy::SecondUse),
            "never" => Ok(SavePolicy::Never),
            _ => Err(format!(
                "{text:?} is not one of \"learned\", \"always\", \"second_use\", \"never\""
            )),
        }
    }
}

pub(super) fn read_all(top: &TableReader<'_, '_>, draft: &mut Draft) {
    for table in top.tables("rules") {
        let name = table.required_located("name");
        draft.defined.rules.extend(name.clone());
        let problems_before = table.log().len();
        let rule = read(&table, name, draft);
        let is_valid = table.log().len() == problems_before;
        draft.rules.push(DraftRule {
            rule: rule.filter(|_| is_valid),
            location: table.location().clone(),
            when_location: table.location_of("when"),
            then_location: table.location_of("then"),
            engine_key_locations: engine_key_locations(&table),
        });
        table.finish();
    }
}

fn engine_key_locations(table: &TableReader<'_, '_>) -> Vec<Location> {
    let then = table.peek_table("then");
    let Some(route) = then.and_then(|then| then.peek_table("route")) else {
        return Vec::new();
    };
    let given = ENGINE_KEYS.iter().filter(|key| route.has_key(key));
    given.map(|key| route.location_of(key)).collect()
}

fn read(
    table: &TableReader<'_, '_>,
    name: Option<Located<RuleName>>,
    draft: &mut Draft,
) -> Option<Rule> {
    let when = match table.table("when") {
        None => Condition::default(),
        Some(when) => {
            let condition = condition::read(&when, draft);
            when.finish();
            condition
        }
    };
    table.require_key("then");
    let then = table.table("then").and_then(|then| {
        let action = read_action(&then, draft);
        then.finish();
        action
    });
    Some(Rule {
        name: name?.value,
        when,
        then: then?,
    })
}

fn read_action(then: &TableReader<'_, '_>, draft: &mut Draft) -> Option<Action> {
    let route = then.table("route");
    let refuse = then.table("refuse");
    let log = then.log();
    match (route, refuse) {
        (Some(route), None) => {
            let action = read_route(&route, draft).map(Action::Route);
            route.finish();
            action
        }
        (None, Some(refuse)) => {
            let action = read_refusal(&refuse).map(Action::Refuse);
            refuse.finish();
            action
        }
        (Some(_), Some(_)) => {
            let message = "`route` and `refuse` are both given";
            log.add(Code::ConfigContradiction, then.location(), message);
            None
        }
        (None, None) => {
            if !then.has_key("route") && !then.has_key("refuse") {
                let message = "`route` or `refuse` is missing";
                log.add(Code::ConfigMissingKey, then.location(), message);
            }
            None
        }
    }
}

fn read_route(table: &TableReader<'_, '_>, draft: &mut Draft) -> Option<Route> {
    let service = table.required_located("service");
    let adapter = table.optional_located("adapter");
    draft.used.services.extend(service.clone());
    draft.used.adapters.extend(adapter.clone());
    let priority = table.number_u32("priority", 0..=MAX_PRIORITY);
    let first_token_weight: Option<Share> = table.optional("first_token_weight");
    let deadline_us = table.duration(duration_keys!("deadline"), 1..=MAX_DEADLINE_MS);
    let may_repeat = table.optional("may_repeat");
    let save: Option<SavePolicy> = table.optional("save");
    Some(Route {
        service: service?.value,
        adapter: adapter.map(|adapter| adapter.value),
        priority: u8::try_from(priority.unwrap_or(DEFAULT_PRIORITY)).ok()?,
        first_token_weight: first_token_weight.unwrap_or(Share::ONE),
        deadline_us: deadline_us.unwrap_or(DEFAULT_DEADLINE),
        may_repeat,
        save: save.unwrap_or_default(),
    })
}

fn read_refusal(table: &TableReader<'_, '_>) -> Option<Refusal> {
    let reason: Option<String> = table.required("reason");
    let retry_after_us = table.duration(duration_keys!("retry_after"), 0..=MAX_RETRY_AFTER_MS);
    let reason = reason?;
    let is_sentence = !reason.trim().is_empty()
        && reason.chars().count() <= MAX_REASON_CHARS
        && !reason.chars().any(char::is_control);
    if !is_sentence {
        let message = format!("must be one line of 1 to {MAX_REASON_CHARS} characters");
        table.add_problem(Code::ConfigBadValue, "reason", message);
    }
    Some(Refusal {
        reason,
        retry_after_us: retry_after_us.unwrap_or(DEFAULT_RETRY_AFTER),
    })
}
