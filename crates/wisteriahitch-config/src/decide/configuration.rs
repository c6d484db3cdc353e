//! Checking a configuration, selecting the rule for a request, and lookups by key or name.

use wisteriahitch_types::{EndpointId, KeyHash, ModelName, WorkspaceId};

use super::RuleTrace;
use super::built_in::{NO_MATCHING_RULE, PATH_NOT_PLAIN};
use crate::check::check;
use crate::draft::Draft;
use crate::read::{ProblemLog, Source};
use crate::{
    Configuration, Endpoint, Report, RequestFacts, Rule, Service, Workspace, is_plain_path,
};

/// Domain-separation context for hashes of callers' secrets.
const KEY_CONTEXT: &str = "wisteriahitch 2026-01 caller key";

/// Returns the hash of a caller's secret, as the configuration stores it in `key_hashes`.
///
/// ```
/// use wisteriahitch_config::key_hash;
///
/// let hash = key_hash("the-secret");
/// assert_eq!(hash.to_string().len(), 32);
/// assert_ne!(hash, key_hash("another-secret"));
/// ```
pub fn key_hash(secret: &str) -> KeyHash {
    KeyHash::derive(KEY_CONTEXT, &[secret.as_bytes()])
}

impl Configuration {
    /// Parses and checks a whole configuration.
    ///
    /// # Errors
    ///
    /// Reports all problems of the text at once, each with its code (4001 to 4008, 4011 and 4013),
    /// line and column; `docs/RULES.md` describes the format.
    ///
    /// ```
    /// use wisteriahitch_config::Configuration;
    ///
    /// let text = r#"
    ///     [[rules]]
    ///     name = "closed"
    ///     then.refuse = { reason = "The site is being set up.", retry_after_s = 60 }
    /// "#;
    /// let configuration = Configuration::check(text).expect("the text is valid");
    /// assert_eq!(configuration.rules.len(), 1);
    ///
    /// let report = Configuration::check("rulez = []").expect_err("the text is invalid");
    /// assert!(report.in_file("site.toml").to_string().starts_with("site.toml:1:1: W"));
    /// ```
    pub fn check(text: &str) -> Result<Self, Report> {
        let log = ProblemLog::new(vec![Source::submitted(text)]);
        let draft = Draft::read(&log);
        let checked = check(draft, &log);
        log.finish(checked)
    }

    /// Returns the first rule whose condition matches the request.
    ///
    /// Only rules that name the request's workspace or no workspace are evaluated, so that the time
    /// doesn't grow with the number of workspaces. A path that a service may interpret as another
    /// one (see [`is_plain_path`]) is refused by a built-in rule before any other rule.
    pub fn decide(&self, facts: &RequestFacts) -> &Rule {
        if has_unsafe_path(facts) {
            return &PATH_NOT_PLAIN;
        }
        let indexes = self.indexes.get_or_build(self);
        let workspace_rules = facts.workspace.as_ref();
        let workspace_rules =
            workspace_rules.and_then(|workspace| indexes.rules_by_workspace.get(workspace));
        let workspace_rules = workspace_rules.map_or(&[][..], Vec::as_slice);
        merge_ascending(workspace_rules, &indexes.rules_without_workspace)
            .filter_map(|position| self.rules.get(position))
            .find(|rule| rule.when.matches_ignoring_workspaces(facts))
            .unwrap_or(&NO_MATCHING_RULE)
    }

    /// Returns a trace of every rule evaluated for the request, up to and including the one that
    /// decides. A built-in rule has the position 0.
    pub fn explain(&self, facts: &RequestFacts) -> Vec<RuleTrace> {
        if has_unsafe_path(facts) {
            return vec![RuleTrace::built_in(&PATH_NOT_PLAIN)];
        }
        let mut traces = Vec::new();
        for (position, rule) in self.rules.iter().enumerate() {
            let trace = RuleTrace {
                position: position + 1,
                rule: rule.name.clone(),
                failed: rule.when.mismatches(facts),
            };
            let is_decisive = trace.is_decisive();
            traces.push(trace);
            if is_decisive {
                break;
            }
        }
        traces
    }

    /// Returns the workspace that a caller's key belongs to, or `None` for an unknown key.
    pub fn workspace_by_key(&self, key: &KeyHash) -> Option<&Workspace> {
        let id: &WorkspaceId = self
            .indexes
            .get_or_build(self)
            .workspace_by_key_hash
            .get(key)?;
        self.workspaces.get(id)
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.locate_endpoint(id)
            .and_then(|(service, position)| service.endpoints.get(position))
    }

    /// Returns the service that an endpoint belongs to.
    pub fn service_by_endpoint(&self, id: &EndpointId) -> Option<&Service> {
        self.locate_endpoint(id).map(|(service, _)| service)
    }

    /// Returns the services whose endpoints serve a model.
    pub fn services_with_model<'a>(
        &'a self,
        model: &'a ModelName,
    ) -> impl Iterator<Item = &'a Service> {
        let services = self.services.values();
        services.filter(move |service| service.models.contains(model))
    }

    /// Returns every endpoint with its service.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Service, &Endpoint)> {
        let services = self.services.values();
        services.flat_map(|service| service.endpoints.iter().map(move |e| (service, e)))
    }

    fn locate_endpoint(&self, id: &EndpointId) -> Option<(&Service, usize)> {
        let (name, position) = self.indexes.get_or_build(self).endpoint_positions.get(id)?;
        Some((self.services.get(name)?, *position))
    }
}

/// Returns whether a service may interpret the path as another one. An empty path is safe: it
/// stands for facts without a path, as in queries about other parts of a condition.
fn has_unsafe_path(facts: &RequestFacts) -> bool {
    !facts.path.is_empty() && !is_plain_path(&facts.path)
}

/// Merges two ascending lists of positions into one ascending sequence.
fn merge_ascending<'a>(left: &'a [usize], right: &'a [usize]) -> impl Iterator<Item = usize> + 'a {
    let mut left = left.iter().copied().peekable();
    let mut right = right.iter().copied().peekable();
    std::iter::from_fn(move || match (left.peek(), right.peek()) {
        (Some(l), Some(r)) if l < r => left.next(),
        (Some(_), None) => left.next(),
        _ => right.next(),
    })
}
