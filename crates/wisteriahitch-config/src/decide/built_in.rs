//! Rules that no operator writes.

use std::sync::LazyLock;

use wisteriahitch_types::DurationUs;

use crate::{Action, Condition, Refusal, Rule};

/// Decides where a configuration that was built by hand has no rule that matches; a checked one
/// always has.
pub(super) static NO_RULE: LazyLock<Rule> = LazyLock::new(|| {
    refusal(
        "no-rule",
        "No rule of the configuration matches the request.",
    )
});

/// Decides for paths that a service may read as other ones than the rules do.
pub(super) static PATH_NOT_PLAIN: LazyLock<Rule> = LazyLock::new(|| {
    refusal(
        "path-not-plain",
        "The path has empty or dot segments, blanks, or escapes of ASCII characters.",
    )
});

fn refusal(name: &str, reason: &str) -> Rule {
    Rule {
        name: name.parse().expect("the name is a literal of ours"),
        when: Condition::default(),
        then: Action::Refuse(Refusal {
            reason: reason.to_owned(),
            retry_after_us: DurationUs::ZERO,
        }),
    }
}
