//! Splitting, merging and assembling sections.

use wisteriahitch_config::{Configuration, SectionName, Sections};
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
fn sections_assemble_to_what_the_whole_text_gives() {
    let sections = Sections::split(WHOLE).unwrap();
    assert_eq!(sections.len(), 3);
    let assembled = sections.assemble().unwrap();
    assert_eq!(assembled, Configuration::check(WHOLE).unwrap());
}

#[test]
fn a_workspace_alone_replaces_its_section_only() {
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

/// Symptom: two customers share answers. Events: an operator copies another workspace's key hash
/// into the submission of one workspace. Cause: the key would belong to two workspaces.
#[test]
fn a_key_of_another_workspace_is_refused() {
    let before = Sections::split(WHOLE).unwrap();
    let stolen = GALLE.replace("0003\"", "0001\"");
    let report = before.accept(&stolen).unwrap_err();
    let codes: Vec<Code> = report.problems().iter().map(|p| p.code).collect();
    assert_eq!(codes, [Code::ConfigDuplicateName]);
    assert_eq!(before, Sections::split(WHOLE).unwrap());
}
