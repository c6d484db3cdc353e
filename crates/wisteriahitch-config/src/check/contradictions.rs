//! Checks that values which are valid on their own don't contradict each other.

use std::collections::BTreeMap;

use wisteriahitch_types::{Code, ModelName, ServiceName};

use crate::draft::{Draft, DraftRule};
use crate::read::ProblemLog;
use crate::{Action, Condition, Model, RequestFacts, Route, Service, ServiceKind};

/// Method of the only call that carries a model, an adapter and a prompt.
const COMPLETIONS_METHOD: &str = "POST";
/// Path of that call.
const COMPLETIONS_PATH: &str = "/v1/completions";

pub(super) fn check(draft: &Draft, log: &ProblemLog<'_>) {
    let services = draft.services.iter().map(|s| (&s.name, s));
    let models = draft.models.iter().map(|model| (&model.name, model));
    let definitions = Definitions {
        services: services.collect(),
        models: models.collect(),
    };
    for rule in &draft.rules {
        definitions.check_rule(rule, log);
    }
}

struct Definitions<'d> {
    services: BTreeMap<&'d ServiceName, &'d Service>,
    models: BTreeMap<&'d ModelName, &'d Model>,
}

impl Definitions<'_> {
    fn check_rule(&self, draft: &DraftRule, log: &ProblemLog<'_>) {
        let Some(rule) = &draft.rule else {
            return;
        };
        if let Some(message) = self.condition_conflict(&rule.when) {
            log.add(Code::ConfigContradiction, &draft.when_location, message);
        }
        let Action::Route(route) = &rule.then else {
            return;
        };
        let Some(service) = self.services.get(&route.service) else {
            return;
        };
        let conflict = match service.kind {
            ServiceKind::Plain => plain_service_conflict(&rule.when, route),
            ServiceKind::Engine => self.engine_service_conflict(&rule.when, route, service),
        };
        if let Some(message) = conflict {
            log.add(Code::ConfigContradiction, &draft.then_location, message);
        }
        if service.kind == ServiceKind::Plain {
            report_engine_keys(draft, &service.name, log);
        }
    }

    /// Returns a message if parts of the condition exclude each other, since its rule could then
    /// never match.
    fn condition_conflict(&self, when: &Condition) -> Option<String> {
        self.prompt_length_conflict(when)
            .or_else(|| self.adapter_conflict(when))
            .or_else(|| completion_conflict(when))
    }

    fn adapter_conflict(&self, when: &Condition) -> Option<String> {
        if when.models.is_empty() || when.adapters.is_empty() {
            return None;
        }
        let models: Option<Vec<_>> = when.models.iter().map(|m| self.models.get(m)).collect();
        let models = models?;
        let has_adapter = |adapter| models.iter().any(|model| model.adapters.contains(adapter));
        let unknown_adapter = when.adapters.iter().find(|adapter| !has_adapter(adapter))?;
        Some(format!(
            "none of the models has the adapter {unknown_adapter}"
        ))
    }

    /// Returns a message if the prompts the rule asks for are longer than any of its models
    /// accepts, since it could then match no request that runs.
    fn prompt_length_conflict(&self, when: &Condition) -> Option<String> {
        let shortest = when.min_prompt_tokens?;
        let limits = when.models.iter().map(|name| self.models.get(name));
        let limits: Option<Vec<_>> = limits
            .map(|model| model.map(|model| model.max_prompt_tokens))
            .collect();
        let longest = limits?.into_iter().max()?;
        (shortest > longest).then(|| {
            format!("`min_prompt_tokens` is {shortest}, but the models take at most {longest}")
        })
    }

    fn engine_service_conflict(
        &self,
        when: &Condition,
        route: &Route,
        service: &Service,
    ) -> Option<String> {
        let name = &service.name;
        if let Some(model) = when.models.iter().find(|m| !service.models.contains(m)) {
            return Some(format!(
                "the service {name} does not hold the model {model}"
            ));
        }
        let adapter = route.adapter.as_ref()?;
        let mut models = service.models.iter().filter_map(|m| self.models.get(m));
        let has_adapter = models.any(|model| model.adapters.contains(adapter));
        (!has_adapter).then(|| format!("no model of the service {name} has the adapter {adapter}"))
    }
}

fn plain_service_conflict(when: &Condition, route: &Route) -> Option<String> {
    let name = &route.service;
    if when.is_for_completions() {
        let parts = "parts of a completion";
        return Some(format!(
            "the rule asks for {parts}, but the service {name} is a plain one"
        ));
    }
    None
}

fn report_engine_keys(draft: &DraftRule, service: &ServiceName, log: &ProblemLog<'_>) {
    for location in &draft.engine_key_locations {
        let message = format!("has no meaning, because the service {service} is a plain one");
        log.add(Code::ConfigContradiction, location, message);
    }
}

/// Returns a message if the condition needs a completion but its methods or paths exclude the one
/// call that carries completions, since its rule could then never match.
fn completion_conflict(when: &Condition) -> Option<String> {
    if !when.is_for_completions() {
        return None;
    }
    let completion = RequestFacts {
        method: COMPLETIONS_METHOD.to_owned(),
        path: COMPLETIONS_PATH.to_owned(),
        ..RequestFacts::default()
    };
    let call = Condition {
        methods: when.methods.clone(),
        path_prefixes: when.path_prefixes.clone(),
        ..Condition::default()
    };
    (!call.is_match(&completion)).then(|| {
        format!(
            "the condition asks for parts of a completion, but leaves out \
             {COMPLETIONS_METHOD} {COMPLETIONS_PATH}"
        )
    })
}
