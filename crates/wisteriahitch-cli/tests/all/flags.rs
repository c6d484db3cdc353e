//! Invalid arguments are rejected before anything is sent.

use wisteriahitch_cli::CommandLine;

#[test]
fn invalid_arguments_are_rejected() {
    let cases: [(&[&str], bool); 9] = [
        (
            &[
                "config",
                "submit",
                "site.toml",
                "--submission",
                "tuesday",
                "--base",
                "7",
            ],
            true,
        ),
        (
            &["config", "submit", "site.toml", "--submission", "a&base=1"],
            false,
        ),
        (
            &["config", "submit", "site.toml", "--base", "latest"],
            false,
        ),
        (&["config", "submit"], false),
        (&["--daemon", "10.0.0.5:7003", "--json", "status"], true),
        (&["--daemon", "entry-1:7003", "status"], false),
        (&["explain", "--model", "hist-7b"], false),
        (
            &["locate", "--workspace", "galle-fort", "--model", "hist-7b"],
            false,
        ),
        (&[], false),
    ];
    for (arguments, should_parse) in cases {
        let parsed = CommandLine::try_from_args(arguments.iter().copied());
        assert_eq!(parsed.is_ok(), should_parse, "{arguments:?}: {parsed:?}");
    }
}
