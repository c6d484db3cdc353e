//! Files from which a site is started.

use wisteriahitch::config::{PolicyName, Settings};
use wisteriahitch_bench::site::{LayoutOptions, SiteAddresses, SiteName, write_layout};

#[test]
fn a_layout_passes_the_checks_of_its_readers() {
    struct Case {
        site: SiteName,
        policy: PolicyName,
        daemons: Option<usize>,
        engines: Option<usize>,
        counts: [usize; 3],
    }
    let case = |site, policy, daemons, engines, counts| Case {
        site,
        policy,
        daemons,
        engines,
        counts,
    };
    let cases = [
        case(SiteName::Chainline, PolicyName::Cost, None, None, [6, 9, 3]),
        case(SiteName::Lanyu, PolicyName::Affinity, None, None, [8, 9, 4]),
        case(
            SiteName::Lanyu,
            PolicyName::Cost,
            Some(3),
            Some(20),
            [3, 20, 4],
        ),
    ];
    for case in cases {
        let directory = tempfile::tempdir().unwrap();
        let options = LayoutOptions {
            site: case.site,
            policy: case.policy,
            first_port: 28_000,
            daemons: case.daemons,
            engines: case.engines,
            directory: directory.path().to_owned(),
        };
        write_layout(&options).unwrap();
        let site = SiteAddresses::read(directory.path()).unwrap();
        let counts = [site.daemons.len(), site.engines.len(), site.services.len()];
        assert_eq!(counts, case.counts, "{}", case.site);
        let read = |name: &str| std::fs::read_to_string(directory.path().join(name)).unwrap();
        for daemon in &site.daemons {
            let settings = Settings::check(&read(&format!("{}.toml", daemon.name))).unwrap();
            assert_eq!(settings.run.policy, case.policy);
        }
        let configuration = read("site.toml");
        let checked = wisteriahitch::config::Configuration::check(&configuration).unwrap();
        assert_eq!(checked.workspaces.len(), 10);
        let processes = case.counts.iter().sum::<usize>() + 3;
        assert_eq!(read("commands").lines().count(), processes, "{}", case.site);
    }
}
