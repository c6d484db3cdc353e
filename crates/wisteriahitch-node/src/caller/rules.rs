//! Applies the configured rules to a request.

use std::collections::BTreeMap;

use http::HeaderMap;
use wisteriahitch_config::{Action, RequestFacts, Route};
use wisteriahitch_types::Code;

use super::Refusal;
use super::identity::Identity;

const LABEL_PREFIX: &str = "x-label-";

/// Returns the route of the first matching rule, or the refusal that the rule demands.
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

/// Returns the labels of a request: its `x-label-*` headers, without the prefix. Values that aren't
/// visible ASCII are skipped.
pub(crate) fn request_labels(headers: &HeaderMap) -> BTreeMap<String, String> {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let label = name.as_str().strip_prefix(LABEL_PREFIX)?;
            Some((label.to_owned(), value.to_str().ok()?.to_owned()))
        })
        .collect()
}
