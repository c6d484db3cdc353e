//! Rollouts load a few at a time, keep enough ready, and go back on failure.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use wisteriahitch_core::fleet::{
    Blocked, EndpointOrder, EndpointReport, ModelOnEndpoint, OrderPlanner, PlannedOrder,
    PlannerSettings, RolloutPhase, RolloutProgress, SiteView, WantedEndpoint, WantedModel,
    WantedState,
};
use wisteriahitch_types::{EndpointId, ModelName, TimeUs};

use crate::fleet::SEED;
use crate::generated::seeded_config;

/// Runners that load in two steps of time.
struct Site {
    wanted: WantedState,
    reports: BTreeMap<EndpointId, EndpointReport>,
    owned: BTreeSet<EndpointId>,
    load_slots: u32,
    loading: BTreeMap<EndpointId, u32>,
    planner: OrderPlanner,
    now: TimeUs,
    /// Version that no runner can load.
    broken: Option<&'static str>,
    most_loading: usize,
    least_ready: usize,
}

fn model() -> ModelName {
    "hist-7b".parse().unwrap()
}

fn id(number: usize) -> EndpointId {
    format!("runner-{number}").parse().unwrap()
}

fn loaded(version: &str) -> ModelOnEndpoint {
    ModelOnEndpoint {
        model: model(),
        weight_version: version.parse().unwrap(),
        adapters: Vec::new(),
        is_ready: true,
    }
}

impl Site {
    fn new(count: usize, version: &str) -> Self {
        let report = || EndpointReport {
            made_at_ms: 1,
            models: vec![loaded(version)],
            role: "assistant".to_owned(),
            batch_slots: 8,
            ..EndpointReport::default()
        };
        let mut site = Self {
            wanted: WantedState::default(),
            reports: (0..count).map(|n| (id(n), report())).collect(),
            owned: (0..count).map(id).collect(),
            load_slots: 2,
            loading: BTreeMap::new(),
            planner: OrderPlanner::new(PlannerSettings::default()),
            now: TimeUs::ZERO,
            broken: None,
            most_loading: 0,
            least_ready: count,
        };
        site.want(version, &[]);
        site
    }

    fn want(&mut self, version: &str, adapters: &[&str]) {
        let wanted = WantedEndpoint {
            service: "assistant".parse().unwrap(),
            models: vec![WantedModel {
                model: model(),
                weight_version: version.parse().unwrap(),
                adapters: adapters.iter().map(|a| a.parse().unwrap()).collect(),
            }],
        };
        self.wanted = WantedState {
            endpoints: self
                .reports
                .keys()
                .map(|id| (id.clone(), wanted.clone()))
                .collect(),
            rollout_parallel: 2,
        };
    }

    fn plan(&mut self) -> Vec<PlannedOrder> {
        let site = SiteView {
            wanted: &self.wanted,
            reports: &self.reports,
            owned: &self.owned,
            load_slots: self.load_slots,
        };
        self.planner.plan(site, self.now)
    }

    fn progress(&self) -> RolloutProgress {
        let site = SiteView {
            wanted: &self.wanted,
            reports: &self.reports,
            owned: &self.owned,
            load_slots: self.load_slots,
        };
        self.planner.progress(site).remove(0)
    }

    fn obey(&mut self, planned: PlannedOrder) {
        let PlannedOrder { endpoint, order } = planned;
        let broken = self.broken;
        let report = self.reports.get_mut(&endpoint).unwrap();
        let is_good = match order {
            EndpointOrder::LoadModel { weight_version, .. } => {
                let is_good = Some(weight_version.as_str()) != broken;
                if is_good {
                    report.models[0].weight_version = weight_version;
                    report.models[0].is_ready = false;
                    self.loading.insert(endpoint.clone(), 2);
                }
                is_good
            }
            EndpointOrder::LoadAdapter { adapter, .. } => {
                report.models[0].adapters.push(adapter);
                true
            }
            EndpointOrder::UnloadAdapter { adapter, .. } => {
                report.models[0].adapters.retain(|a| *a != adapter);
                true
            }
            EndpointOrder::SetRole { role } => {
                report.role = role;
                true
            }
            EndpointOrder::UnloadModel { model } => {
                report.models.retain(|m| m.model != model);
                true
            }
        };
        self.planner.order_done(&endpoint, is_good, self.now);
    }

    fn step(&mut self) {
        self.now = TimeUs::new(self.now.get() + 1_000_000);
        for planned in self.plan() {
            self.obey(planned);
        }
        let ready = self
            .reports
            .values()
            .filter(|r| r.is_ready_for(&model()))
            .count();
        self.most_loading = self.most_loading.max(self.loading.len());
        self.least_ready = self.least_ready.min(ready);
        for (id, report) in &mut self.reports {
            report.made_at_ms += 1;
            let Some(left) = self.loading.get_mut(id) else {
                continue;
            };
            *left -= 1;
            if *left == 0 {
                report.models[0].is_ready = true;
                self.loading.remove(id);
            }
        }
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    fn versions(&self) -> BTreeSet<String> {
        let versions = self.reports.values().flat_map(|r| &r.models);
        versions.map(|m| m.weight_version.to_string()).collect()
    }
}

#[test]
fn a_rollout_reaches_every_runner_two_at_a_time() {
    let mut site = Site::new(9, "v1");
    site.run(3);
    assert!(site.plan().is_empty());
    site.want("v2", &[]);
    site.step();
    assert_eq!(
        site.loading.len(),
        1,
        "the first one shows that the version works"
    );
    site.run(60);
    assert_eq!(site.versions(), BTreeSet::from(["v2".to_owned()]));
    assert_eq!(site.most_loading, 2);
    assert_eq!(site.least_ready, 7);
    assert_eq!(site.progress().phase, RolloutPhase::Done);
    assert_eq!(site.progress().done, 9);
}

/// Symptom: a broken version takes a whole site out of service.
/// Sequence: loading the new version fails at runner after runner.
/// Cause: nobody stops the rollout.
#[test]
fn a_rollout_that_fails_stops_and_goes_back() {
    let mut site = Site::new(6, "v1");
    site.run(2);
    site.broken = Some("v2");
    site.want("v2", &[]);
    site.run(40);
    assert_eq!(site.versions(), BTreeSet::from(["v1".to_owned()]));
    let progress = site.progress();
    assert_eq!(progress.phase, RolloutPhase::Stopped);
    assert_eq!(progress.failures, 2);
    assert_eq!(progress.done, 6);
    site.want("v3", &[]);
    site.run(60);
    assert_eq!(site.versions(), BTreeSet::from(["v3".to_owned()]));
}

/// Symptom: runners that went to the broken version stay there.
/// Sequence: some runners load the new version; then loading it fails elsewhere.
/// Cause: a stop alone leaves the site in two versions.
#[test]
fn runners_that_had_the_new_version_go_back_too() {
    let mut site = Site::new(6, "v1");
    site.run(2);
    site.want("v2", &[]);
    site.run(8);
    assert_eq!(site.versions().len(), 2);
    site.broken = Some("v2");
    site.run(60);
    assert_eq!(site.versions(), BTreeSet::from(["v1".to_owned()]));
    assert_eq!(site.progress().phase, RolloutPhase::Stopped);
}

struct SpareCase {
    name: &'static str,
    count: usize,
    change: fn(&mut Site),
    planned: usize,
    blocked: Option<Blocked>,
}

const SPARE_CASES: &[SpareCase] = &[
    SpareCase {
        name: "idle runners",
        count: 4,
        change: |_| {},
        planned: 1,
        blocked: Some(Blocked::FirstNotConfirmed),
    },
    SpareCase {
        name: "all needed for the load but one",
        count: 3,
        change: |site| site.reports.values_mut().for_each(|r| r.open_requests = 7),
        planned: 1,
        blocked: Some(Blocked::FirstNotConfirmed),
    },
    SpareCase {
        name: "the last ready one",
        count: 2,
        change: |site| site.reports.get_mut(&id(0)).unwrap().is_leaving = true,
        planned: 0,
        blocked: Some(Blocked::NeededForLoad),
    },
    SpareCase {
        name: "the only one, busy",
        count: 1,
        change: |site| site.reports.get_mut(&id(0)).unwrap().open_requests = 1,
        planned: 0,
        blocked: Some(Blocked::NeededForLoad),
    },
    SpareCase {
        name: "the only one, idle",
        count: 1,
        change: |_| {},
        planned: 1,
        blocked: None,
    },
    SpareCase {
        name: "two load elsewhere",
        count: 6,
        change: |site| {
            for number in 0..2 {
                let report = site.reports.get_mut(&id(number)).unwrap();
                report.models[0].is_ready = false;
                report.models[0].weight_version = "v2".parse().unwrap();
            }
            site.owned = (2..6).map(id).collect();
        },
        planned: 0,
        blocked: Some(Blocked::TooManyLoading),
    },
    SpareCase {
        name: "no lease of loads",
        count: 3,
        change: |site| site.load_slots = 0,
        planned: 0,
        blocked: Some(Blocked::NoLease),
    },
    SpareCase {
        name: "no lease",
        count: 3,
        change: |site| site.owned.clear(),
        planned: 0,
        blocked: Some(Blocked::NoLease),
    },
];

#[test]
fn a_runner_is_taken_only_where_it_can_be_spared() {
    for case in SPARE_CASES {
        let mut site = Site::new(case.count, "v1");
        site.run(2);
        site.want("v2", &[]);
        (case.change)(&mut site);
        let planned = site.plan();
        assert_eq!(planned.len(), case.planned, "{}", case.name);
        let blocked = site.progress().blocked;
        let reason = blocked.last().map(|(_, reason)| *reason);
        assert_eq!(reason, case.blocked, "{}", case.name);
    }
}

/// Symptom: an endpoint that ignores fencing numbers ends with an older order's version.
/// Sequence: a late order of the holder before runs after ours was reported once.
/// Cause: one report that agrees is taken for the end.
#[test]
fn one_agreeing_report_is_not_enough() {
    let mut site = Site::new(1, "v1");
    site.run(2);
    site.want("v2", &[]);
    let planned = site.plan();
    let endpoint = planned[0].endpoint.clone();
    site.planner.order_done(&endpoint, true, site.now);
    let report = |site: &mut Site, version: &str| {
        let report = site.reports.get_mut(&id(0)).unwrap();
        report.made_at_ms += 1;
        report.models = vec![loaded(version)];
        site.plan();
        site.planner.is_changing(&id(0))
    };
    assert!(report(&mut site, "v2"));
    assert!(report(&mut site, "v1"), "the late order");
    assert!(report(&mut site, "v2"));
    site.plan();
    assert!(
        site.planner.is_changing(&id(0)),
        "the same report counts once"
    );
    assert!(!report(&mut site, "v2"));
}

#[test]
fn adapters_follow_the_configuration() {
    let mut site = Site::new(3, "v1");
    site.want("v1", &["parts", "warranty"]);
    site.run(20);
    let adapters = |site: &Site| site.reports[&id(1)].models[0].adapters.len();
    assert_eq!(adapters(&site), 2);
    site.want("v1", &["parts"]);
    site.run(20);
    assert_eq!(adapters(&site), 1);
}

#[test]
fn generated_sites_keep_the_bounds_and_arrive() {
    let config = seeded_config(200, SEED);
    let busy = prop::collection::vec(0_u64..8, 2..12);
    TestRunner::new(config)
        .run(&(busy, 0_usize..12), |(busy, changes_at)| {
            let count = busy.len();
            let mut site = Site::new(count, "v1");
            for (number, open) in busy.iter().enumerate() {
                site.reports.get_mut(&id(number)).unwrap().open_requests = *open;
            }
            site.run(2);
            site.want("v2", &[]);
            site.run(changes_at);
            site.want("v3", &["parts"]);
            site.run(20 * count + 40);
            prop_assert_eq!(site.versions(), BTreeSet::from(["v3".to_owned()]));
            prop_assert!(site.most_loading <= 2);
            prop_assert!(site.least_ready >= (count / 2).max(1).min(count - 1));
            Ok(())
        })
        .unwrap();
}

#[test]
fn progress_is_shown() {
    let mut site = Site::new(2, "v1");
    site.run(2);
    site.want("v2", &[]);
    site.plan();
    let text = serde_json::to_string(&site.progress()).unwrap();
    expect_test::expect![[r#"{"model":"hist-7b","from":"v1","to":"v2","phase":"running","total":2,"done":0,"loading":["runner-0"],"failures":0,"blocked":[["runner-1","first_not_confirmed"]]}"#]].assert_eq(&text);
}

/// Symptom: a rollout stands still although runners wait for it.
/// Sequence: the first runner in the list is needed for the load; others could go.
/// Cause: the right to load stays with the owner of the one that can't.
#[test]
fn the_next_to_load_can_be_spared() {
    let mut site = Site::new(3, "v1");
    site.run(2);
    let view = |site: &Site| {
        let view = SiteView {
            wanted: &site.wanted,
            reports: &site.reports,
            owned: &site.owned,
            load_slots: site.load_slots,
        };
        site.planner.next_to_load(view).cloned()
    };
    assert_eq!(view(&site), None);
    site.want("v2", &[]);
    site.owned.clear();
    site.plan();
    assert_eq!(view(&site), Some(id(0)));
    site.reports.get_mut(&id(0)).unwrap().is_leaving = true;
    assert_eq!(view(&site), Some(id(1)));
    site.reports.get_mut(&id(1)).unwrap().models[0].weight_version = "v2".parse().unwrap();
    assert_eq!(view(&site), Some(id(2)));
}
