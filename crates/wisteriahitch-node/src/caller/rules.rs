//! Which rule decides for a request, and what it says.

use std::collections::BTreeMap;

use http::HeaderMap;
use wisteriahitch_config::{Action, RequestFacts, Route};
use wisteriahitch_types::Code;

use super::Refusal;
use super::identity::Identity;

const LABEL_PREFIX: &str = "x-label-";

/// Tries the rules in their order; the first that holds decides.
pub(crate) fn apply_rules(identity: &Identity, facts: &RequestFacts) -> Result<Route, Refusal> {
    let rule = identity.in_force.configuration.decide(facts);
    log::debug!("rule {} decides", rule.name);
    match &rule.then {
        Action::Route(route) => Ok(route.clone()),
        Action::Refuse(refusal) => Err(Refusal::new(Code::RuleRefused)
            .with_message(refusal.reason.clone())
            .with_retry_after_us(refusal.retry_after_us)),
    }
}

/// Reads the labels that the caller sent.
pub(crate) fn request_labels(headers: &HeaderMap) -> BTreeMap<String, String> {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let label = name.as_str().strip_prefix(LABEL_PREFIX)?;
            Some((label.to_owned(), value.to_str().ok()?.to_owned()))
        })
        .collect()
}
