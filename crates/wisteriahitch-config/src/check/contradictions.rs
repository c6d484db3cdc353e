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
    let known = Known {
        services: services.collect(),
        models: models.collect(),
    };
    for rule in &draft.rules {
        known.check_rule(rule, log);
    }
}

struct Known<'d> {
    services: BTreeMap<&'d ServiceName, &'d Service>,
    models: BTreeMap<&'d ModelName, &'d Model>,
}

impl Known<'_> {
    fn check_rule(&self, draft: &DraftRule, log: &ProblemLog<'_>) {
        let Some(rule) = &draft.rule else {
            return;
        };
        if let Some(message) = self.impossible(&rule.when) {
            log.add(Code::ConfigContradiction, &draft.when, message);
        }
        let Action::Route(route) = &rule.then else {
            return;
        };
        let Some(service) = self.services.get(&route.service) else {
            return;
        };
        let fault = match service.kind {
            ServiceKind::Plain => plain_fault(&rule.when, route),
            ServiceKind::Engine => self.engine_fault(&rule.when, route, service),
        };
        if let Some(message) = fault {
            log.add(Code::ConfigContradiction, &draft.then, message);
        }
        if service.kind == ServiceKind::Plain {
            refuse_engine_keys(draft, &service.name, log);
        }
    }

    /// Returns a message if parts of the condition exclude each other, since its rule could then
    /// never match.
    fn impossible(&self, when: &Condition) -> Option<String> {
        self.too_long_prompts(when)
            .or_else(|| self.foreign_adapter(when))
            .or_else(|| not_a_completion(when))
    }

    fn foreign_adapter(&self, when: &Condition) -> Option<String> {
        if when.models.is_empty() || when.adapters.is_empty() {
            return None;
        }
        let models: Option<Vec<_>> = when.models.iter().map(|m| self.models.get(m)).collect();
        let models = models?;
        let is_held = |adapter| models.iter().any(|model| model.adapters.contains(adapter));
        let foreign = when.adapters.iter().find(|adapter| !is_held(adapter))?;
        Some(format!("none of the models has the adapter {foreign}"))
    }

    /// Returns a message if the prompts the rule asks for are longer than any of its models
    /// accepts, since it could then match no request that runs.
    fn too_long_prompts(&self, when: &Condition) -> Option<String> {
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

    fn engine_fault(&self, when: &Condition, route: &Route, service: &Service) -> Option<String> {
        let name = &service.name;
        if let Some(model) = when.models.iter().find(|m| !service.models.contains(m)) {
            return Some(format!(
                "the service {name} does not hold the model {model}"
            ));
        }
        let adapter = route.adapter.as_ref()?;
        let mut models = service.models.iter().filter_map(|m| self.models.get(m));
        let is_held = models.any(|model| model.adapters.contains(adapter));
        (!is_held).then(|| format!("no model of the service {name} has the adapter {adapter}"))
    }
}

fn plain_fault(when: &Condition, route: &Route) -> Option<String> {
    let name = &route.service;
    if when.is_for_completions() {
        let parts = "parts of a completion";
        return Some(format!(
            "the rule asks for {parts}, but the service {name} is a plain one"
        ));
    }
    None
}

fn refuse_engine_keys(draft: &DraftRule, service: &ServiceName, log: &ProblemLog<'_>) {
    for place in &draft.engine_keys {
        let message = format!("has no meaning, because the service {service} is a plain one");
        log.add(Code::ConfigContradiction, place, message);
    }
}

/// Returns a message if the condition needs a completion but its methods or paths exclude the one
/// call that carries completions, since its rule could then never match.
fn not_a_completion(when: &Condition) -> Option<String> {
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
