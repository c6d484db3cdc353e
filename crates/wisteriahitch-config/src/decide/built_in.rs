//! Built-in rules, which apply in addition to the operator's rules.

use std::sync::LazyLock;

use wisteriahitch_types::DurationUs;

use crate::{Action, Condition, Refusal, Rule};

/// Refuses requests that match no rule. Only a configuration built in code can lack a matching
/// rule: a checked one ends with a default rule.
pub(super) static NO_MATCHING_RULE: LazyLock<Rule> = LazyLock::new(|| {
    refusal(
        "no-rule",
        "No rule of the configuration matches the request.",
    )
});

/// Refuses paths that a service may interpret differently from the rules.
pub(super) static PATH_NOT_PLAIN: LazyLock<Rule> = LazyLock::new(|| {
    refusal(
        "path-not-plain",
        "The path has empty or dot segments, blanks, or escapes of ASCII characters.",
    )
});

fn refusal(name: &str, reason: &str) -> Rule {
    Rule {
        name: name.parse().expect("the literal is a valid rule name"),
        when: Condition::default(),
        then: Action::Refuse(Refusal {
            reason: reason.to_owned(),
            retry_after_us: DurationUs::ZERO,
        }),
    }
}
