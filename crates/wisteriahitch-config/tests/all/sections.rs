//! Splitting, merging and assembling sections.

use wisteriahitch_config::{
    Configuration, Report, Section, SectionChange, SectionHash, SectionName, Sections,
};
use wisteriahitch_types::Code;

const WHOLE: &str = r#"
[[services]]
name = "tills"
kind = "plain"
repeatable = [{ method = "GET", path_prefix = "/stock" }]

[[services.endpoints]]
id = "till-1"
address = "127.0.0.1:9101"
availability_zone = "colombo-a"
checks_fence = false

[[workspaces]]
id = "kandy-01"
key_hashes = ["00000000000000000000000000000001"]
store_bytes = 1_000

[[workspaces]]
id = "galle-02"
key_hashes = ["00000000000000000000000000000002"]
store_bytes = 1_000

[[rules]]
name = "kandy"
when.workspaces = ["kandy-01"]
then.route = { service = "tills", deadline_ms = 500 }

[[rules]]
name = "rest"
then.refuse = { reason = "Not served here.", retry_after_s = 60 }
"#;

const GALLE: &str = r#"
[[workspaces]]
id = "galle-02"
weight = 3
key_hashes = ["00000000000000000000000000000003"]
store_bytes = 2_000
"#;

fn workspace(id: &str) -> SectionName {
    SectionName::Workspace(id.parse().unwrap())
}

#[test]
fn sections_assemble_to_the_same_configuration_as_the_whole_text() {
    let sections = Sections::split(WHOLE).unwrap();
    assert_eq!(sections.len(), 3);
    let assembled = sections.assemble().unwrap();
    assert_eq!(assembled, Configuration::check(WHOLE).unwrap());
}

#[test]
fn a_submitted_workspace_replaces_only_its_section() {
    let before = Sections::split(WHOLE).unwrap();
    let (after, configuration) = before.accept(GALLE).unwrap();
    assert_eq!(
        after.get(&SectionName::Site),
        before.get(&SectionName::Site)
    );
    let kandy = workspace("kandy-01");
    assert_eq!(after.get(&kandy), before.get(&kandy));
    let galle = &configuration.workspaces[&"galle-02".parse().unwrap()];
    assert_eq!(galle.weight, 3);
    assert_eq!(after.assemble().unwrap(), configuration);
}

/// Two customers share answers if a key belongs to two workspaces, after an operator copied the key
/// hash of one workspace into the submission of another.
#[test]
fn a_key_of_another_workspace_is_refused() {
    let before = Sections::split(WHOLE).unwrap();
    let stolen = GALLE.replace("0003\"", "0001\"");
    let report = before.accept(&stolen).unwrap_err();
    let codes: Vec<Code> = report.problems().iter().map(|p| p.code).collect();
    assert_eq!(codes, [Code::ConfigDuplicateName]);
    assert_eq!(before, Sections::split(WHOLE).unwrap());
}

#[test]
fn spacing_order_and_comments_do_not_change_a_section() {
    let other = r#"
# The same workspace, written by another hand.
[[workspaces]]
store_bytes=2_000
key_hashes = [
    "00000000000000000000000000000003",
]
id = 'galle-02'
weight = 0x3
"#;
    assert_eq!(
        Sections::split(other).unwrap(),
        Sections::split(GALLE).unwrap()
    );
    let changed = GALLE.replace("weight = 3", "weight = 4");
    assert_ne!(
        Sections::split(&changed).unwrap(),
        Sections::split(GALLE).unwrap()
    );
}

#[test]
fn a_submission_without_workspaces_keeps_them() {
    let before = Sections::split(WHOLE).unwrap();
    let (site, _) = WHOLE.split_once("[[workspaces]]").unwrap();
    let rules = "[[rules]]\nname = \"closed\"\nthen.refuse.reason = \"Closed.\"\n";
    let (after, configuration) = before.accept(&format!("{site}{rules}")).unwrap();
    assert_eq!(configuration.workspaces.len(), 2);
    assert_eq!(
        before.changes_to(&after),
        [SectionChange::Changed(SectionName::Site)]
    );
}

/// All callers of a workspace are refused if an operator submits the rules together with one new
/// workspace, and the text is taken for the whole site, so that the other workspaces are removed.
#[test]
fn a_whole_text_that_omits_a_workspace_is_refused() {
    let before = Sections::split(WHOLE).unwrap();
    let fewer = without_galle();
    let report = before.accept(&fewer).unwrap_err();
    assert_eq!(codes(&report), [Code::ConfigContradiction]);
    assert_eq!(before.merge(&Sections::split(&fewer).unwrap()).len(), 3);
}

#[test]
fn a_workspace_is_removed_only_if_the_submission_names_it() {
    let before = Sections::split(WHOLE).unwrap();
    let removed = [SectionChange::Removed(workspace("galle-02"))];
    let alone = "removed_workspaces = [\"galle-02\"]\n".to_owned();
    let whole = format!("{alone}{}", without_galle());
    for text in [alone, whole] {
        let (after, configuration) = before.accept(&text).unwrap();
        assert_eq!(before.changes_to(&after), removed, "{text}");
        assert_eq!(configuration.workspaces.len(), 1);
    }
}

fn without_galle() -> String {
    let (head, tail) = WHOLE
        .split_once("[[workspaces]]\nid = \"galle-02\"")
        .unwrap();
    let (_, rules) = tail.split_once("[[rules]]").unwrap();
    format!("{head}[[rules]]{rules}")
}

fn codes(report: &Report) -> Vec<Code> {
    report.problems().iter().map(|p| p.code).collect()
}

#[test]
fn an_invalid_submission_leaves_all_sections_unchanged() {
    struct Case {
        text: &'static str,
        code: Code,
    }
    let case = |text, code| Case { text, code };
    let cases = [
        case("", Code::ConfigMissingKey),
        case("# nothing\n", Code::ConfigMissingKey),
        case(
            "removed_workspaces = [\"galle-2\"]",
            Code::ConfigUnknownName,
        ),
        // A rule of the site refers to the removed workspace.
        case(
            "removed_workspaces = [\"kandy-01\"]",
            Code::ConfigUnknownName,
        ),
        case(
            "removed_workspaces = [\"x\"]\n[[workspaces]]\nid = \"x\"\n\
             key_hashes = [\"00000000000000000000000000000009\"]\nstore_bytes = 1",
            Code::ConfigContradiction,
        ),
        case(
            "[[workspaces]]\nid = \"x\"\nstore_bytes = 1",
            Code::ConfigMissingKey,
        ),
        case("[[workspace]]\nid = \"x\"", Code::ConfigUnknownKey),
        case("workspaces = 7", Code::ConfigBadValue),
        case("limits.entries_ttl_s = 5", Code::ConfigNoDefault),
        case(
            "[[workspaces]]\nid = \"x\"\nkey_hashes = [\"00000000000000000000000000000008\"]\n\
             store_bytes = 1\n[[workspaces]]\nid = \"x\"\n\
             key_hashes = [\"00000000000000000000000000000009\"]\nstore_bytes = 1",
            Code::ConfigDuplicateName,
        ),
    ];
    let before = Sections::split(WHOLE).unwrap();
    for Case { text, code } in cases {
        let report = before.accept(text).unwrap_err();
        assert!(codes(&report).contains(&code), "{text}: {report}");
    }
    assert_eq!(before, Sections::split(WHOLE).unwrap());
}

/// Of two workspaces with the same name, the later one silently replaces the first if a submission
/// with both is split and merged without a check of the whole, since sections are stored by name.
#[test]
fn a_submission_with_a_duplicate_workspace_is_not_split() {
    let report = Sections::split(&GALLE.repeat(2)).unwrap_err();
    let codes = codes(&report);
    assert!(codes.contains(&Code::ConfigDuplicateName), "{report}");
}

#[test]
fn a_section_above_the_size_limit_of_the_platform_is_refused() {
    let reason = "\\\"".repeat(250);
    let rules: String = (0..3_000)
        .map(|i| format!("[[rules]]\nname = \"r{i}\"\nthen.refuse.reason = \"{reason}\"\n"))
        .collect();
    let report = Sections::split(&rules).unwrap_err();
    assert_eq!(codes(&report), [Code::ConfigTooLarge]);
}

/// Daemons run different configurations under the same version if the platform or a peer answers
/// with another text than the one requested, and the text isn't checked against its hash.
#[test]
fn a_fetched_text_must_match_the_requested_hash() {
    let whole = Sections::split(WHOLE).unwrap();
    let mut fetched = Sections::default();
    for (name, section) in whole.iter() {
        let other = format!("{}# changed\n", section.text());
        let refused = Section::try_verified(section.hash(), other);
        assert_eq!(refused.unwrap_err().expected, section.hash());
        let checked = Section::try_verified(section.hash(), section.text());
        fetched.insert(name.clone(), checked.unwrap());
    }
    assert_eq!(fetched, whole);
}

#[test]
fn section_names_and_hashes_round_trip_through_text() {
    for (name, section) in Sections::split(WHOLE).unwrap().iter() {
        assert_eq!(name.to_string().parse::<SectionName>().as_ref(), Ok(name));
        let hash = section.hash();
        assert_eq!(hash.to_string().parse::<SectionHash>(), Ok(hash));
        assert_eq!(hash.to_string().len(), 64);
    }
    for text in ["", "sites", "workspace/", "workspace", "workspace/a b"] {
        assert!(text.parse::<SectionName>().is_err(), "{text:?}");
    }
}
