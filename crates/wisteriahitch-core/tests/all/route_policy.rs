//! Routing decisions: plans, deadlines, refusals, spreading and the baseline policies.

use std::collections::BTreeMap;

use wisteriahitch_config::ServiceKind;
use wisteriahitch_core::route::{
    Affinity, AttemptFailure, Choice, CostPolicy, EndpointLoad, LeastLoaded, LeavingSource,
    NoLinks, ParsePolicyError, Policy, PolicyKind, RoundRobin, RouteRequest, Router,
    engine_priority,
};
use wisteriahitch_types::{
    BlockKey, ByteRate, Code, DurationUs, EndpointId, Share, Tier, TokenCount, TokenRate,
};

use crate::route_fixture::{
    BYTES_PER_TOKEN, FixedLinks, PREFILL_TOKENS_PER_S, START, after_ms, configuration, endpoint,
    idle_report, request, router, router_with, store,
};

/// Links whose rates are given as multiples of the rate at which a prompt is computed.
fn links(memory: u64, disk: u64, queue_ms: u64) -> FixedLinks {
    let rate = |times: u64| ByteRate::new(times * PREFILL_TOKENS_PER_S * BYTES_PER_TOKEN);
    FixedLinks {
        memory_rate: rate(memory),
        disk_rate: rate(disk),
        queue_us: DurationUs::from_ms(queue_ms),
    }
}

fn block_keys(request: &RouteRequest) -> Vec<BlockKey> {
    request.chain.blocks.iter().map(|piece| piece.key).collect()
}

fn imported_tokens(choice: &Choice) -> u64 {
    choice
        .plan
        .import
        .iter()
        .map(|step| step.tokens.get())
        .sum()
}

struct PlanCase {
    name: &'static str,
    /// Number of leading pieces that are resident, in memory and on disk.
    stored_pieces: [usize; 3],
    links: FixedLinks,
    queued_tokens: u64,
    weight: f64,
    /// Tokens resident, imported and computed, of 105.
    plan: [u64; 3],
}

fn plan_cases() -> Vec<PlanCase> {
    let case = |name, stored_pieces, links, queued_tokens, weight, plan| PlanCase {
        name,
        stored_pieces,
        links,
        queued_tokens,
        weight,
        plan,
    };
    let fast = || links(10, 2, 0);
    let slow_disk = || FixedLinks {
        disk_rate: ByteRate::new(500_000),
        ..fast()
    };
    vec![
        case("nothing is stored", [0, 0, 0], fast(), 0, 1.0, [0, 0, 105]),
        case("a resident prefix", [4, 0, 0], fast(), 0, 1.0, [40, 0, 65]),
        // A returning prompt must not be computed whole although every piece is stored. While the
        // endpoint evicts the end of the chain, importing that end would evict the beginning, which
        // is the oldest, so a plan must not count on a beginning that is being evicted.
        case(
            "all from memory while the endpoint evicts the chain",
            [4, 9, 0],
            fast(),
            0,
            1.0,
            [0, 90, 15],
        ),
        case("unstored rest", [4, 4, 0], fast(), 0, 1.0, [40, 0, 65]),
        case(
            "a disk slower than computing",
            [4, 0, 9],
            slow_disk(),
            0,
            1.0,
            [40, 0, 65],
        ),
        case(
            "the same with more weight on prompt computation",
            [4, 0, 9],
            slow_disk(),
            0,
            0.2,
            [0, 90, 15],
        ),
        case(
            "the same while the engine is busy",
            [4, 0, 9],
            slow_disk(),
            40,
            1.0,
            [40, 0, 65],
        ),
        case(
            "a slow disk while the engine is busy with others",
            [0, 0, 9],
            slow_disk(),
            40,
            1.0,
            [0, 20, 85],
        ),
        case(
            "a busy link",
            [0, 10, 0],
            links(10, 2, 500),
            0,
            1.0,
            [0, 0, 105],
        ),
        case(
            "memory before disk",
            [0, 3, 10],
            fast(),
            0,
            1.0,
            [0, 100, 5],
        ),
    ]
}

#[test]
fn plan_has_the_lowest_cost() {
    for case in plan_cases() {
        let mut router = router(1);
        let request = RouteRequest {
            first_token_weight: Share::try_from(case.weight).unwrap(),
            ..request(105)
        };
        let keys = block_keys(&request);
        let load = EndpointLoad {
            queued_tokens: TokenCount::new(case.queued_tokens),
            ..idle_report(START)
        };
        router.endpoints.record_report(&endpoint(0), load, START);
        router
            .directory
            .replace_endpoint_listing(&endpoint(0), &keys[..case.stored_pieces[0]]);
        let hub = store("hub-cache");
        let in_tier = |count: usize, tier| keys[..count].iter().map(move |key| (*key, tier));
        let blocks: Vec<(BlockKey, Tier)> = in_tier(case.stored_pieces[1], Tier::Memory)
            .chain(in_tier(case.stored_pieces[2], Tier::Disk))
            .collect();
        router.directory.replace_store_listing(&hub, &blocks);
        let choice = router.choose(&request, &case.links, START).unwrap();
        let plan = [
            choice.plan.resident_tokens.get(),
            imported_tokens(&choice),
            choice.plan.recompute_tokens.get(),
        ];
        assert_eq!(plan, case.plan, "{}: {:?}", case.name, choice.estimate);
    }
}

#[test]
fn weight_decides_between_a_busy_holder_and_an_idle_endpoint() {
    struct Case {
        weight: f64,
        chosen: usize,
    }
    // The holder has 200 tokens queued; the other endpoint would compute 100 tokens again.
    let cases = [
        Case {
            weight: 1.0,
            chosen: 2,
        },
        Case {
            weight: 0.1,
            chosen: 0,
        },
    ];
    for case in cases {
        let mut router = router(3);
        let request = RouteRequest {
            first_token_weight: Share::try_from(case.weight).unwrap(),
            exclude: vec![endpoint(1)],
            ..request(100)
        };
        let load = EndpointLoad {
            queued_tokens: TokenCount::new(200),
            ..idle_report(START)
        };
        router.endpoints.record_report(&endpoint(0), load, START);
        router
            .directory
            .replace_endpoint_listing(&endpoint(0), &block_keys(&request));
        let choice = router.choose(&request, &NoLinks, START).unwrap();
        assert_eq!(
            choice.endpoint,
            endpoint(case.chosen),
            "weight {}",
            case.weight
        );
        assert_eq!(choice.weighed.len(), 2);
        assert!(choice.weighed[0].cost_us <= choice.weighed[1].cost_us);
    }
}

#[test]
fn another_workspace_finds_nothing_of_the_same_text() {
    let mut router = router(1);
    let kandy_request = request(100);
    router
        .directory
        .replace_endpoint_listing(&endpoint(0), &block_keys(&kandy_request));
    let galle_request = RouteRequest {
        chain: crate::route_fixture::chain("galle", &crate::route_fixture::words(100)),
        ..request(100)
    };
    let choice = |request| router.choose(request, &NoLinks, START).unwrap().plan;
    let plans = [&kandy_request, &galle_request].map(choice);
    assert_eq!(plans.map(|plan| plan.resident_tokens.get()), [100, 0]);
}

#[test]
fn refusals_name_their_cause() {
    struct Case {
        name: &'static str,
        change: fn(&mut Router, &mut RouteRequest),
        refusal: Option<(Code, u64)>,
    }
    let case = |name, refusal, change| Case {
        name,
        change,
        refusal,
    };
    let no_endpoint = Some((Code::NoEndpoint, 1_000));
    let cases = [
        case("nothing is wrong", None, |_, _| {}),
        case(
            "the prompt can't be computed in time",
            Some((Code::DeadlineUnreachable, 140)),
            |_, request| request.deadline_us = DurationUs::from_ms(60),
        ),
        case(
            "no endpoint has the model",
            Some((Code::UnknownModel, 1_000)),
            |_, request| request.model = Some("hist-70b".parse().unwrap()),
        ),
        case("no endpoint has the version", no_endpoint, |_, request| {
            request.weight_version = Some("v2".parse().unwrap());
        }),
        case("no endpoint has the adapter", no_endpoint, |_, request| {
            request.adapter = Some("warranty".parse().unwrap());
        }),
        case("every endpoint was tried", no_endpoint, |_, request| {
            request.exclude = vec![endpoint(0), endpoint(1)];
        }),
        case("every endpoint is leaving", no_endpoint, |router, _| {
            let source = LeavingSource::VmList;
            router.endpoints.mark_leaving(&endpoint(0), &source, START);
            router.endpoints.mark_leaving(&endpoint(1), &source, START);
        }),
        case(
            "all reports are missing: the last resort",
            None,
            |router, _| {
                router.tick(after_ms(60_000));
            },
        ),
    ];
    for case in cases {
        let mut router = router(2);
        let mut request = request(200);
        (case.change)(&mut router, &mut request);
        let refused = router.choose(&request, &NoLinks, START).err();
        let actual = refused.map(|refusal| (refusal.code, refusal.retry_after_us.as_ms()));
        assert_eq!(actual, case.refusal, "{}", case.name);
    }
}

#[test]
fn endpoint_that_meets_the_deadline_is_preferred_to_a_cheaper_late_one() {
    let mut router = router(3);
    let request = RouteRequest {
        first_token_weight: Share::ZERO,
        deadline_us: DurationUs::from_ms(150),
        ..request(100)
    };
    let load = EndpointLoad {
        queued_tokens: TokenCount::new(500),
        ..idle_report(START)
    };
    router.endpoints.record_report(&endpoint(0), load, START);
    router
        .directory
        .replace_endpoint_listing(&endpoint(0), &block_keys(&request));
    let choice = router.choose(&request, &NoLinks, START).unwrap();
    assert_ne!(choice.endpoint, endpoint(0));
}

#[test]
fn plan_that_meets_the_deadline_is_preferred_to_a_cheaper_late_one() {
    struct Case {
        deadline_ms: u64,
        imported_tokens: u64,
    }
    let cases = [
        Case {
            deadline_ms: 110,
            imported_tokens: 0,
        },
        Case {
            deadline_ms: 60_000,
            imported_tokens: 100,
        },
    ];
    for case in cases {
        let mut router = router(1);
        let request = RouteRequest {
            first_token_weight: Share::ZERO,
            deadline_us: DurationUs::from_ms(case.deadline_ms),
            ..request(105)
        };
        let on_disk: Vec<(BlockKey, Tier)> = block_keys(&request)
            .into_iter()
            .map(|key| (key, Tier::Disk))
            .collect();
        router
            .directory
            .replace_store_listing(&store("hub-cache"), &on_disk);
        let slow_disk = FixedLinks {
            disk_rate: ByteRate::new(500_000),
            ..links(10, 1, 0)
        };
        let choice = router.choose(&request, &slow_disk, START).unwrap();
        assert_eq!(
            imported_tokens(&choice),
            case.imported_tokens,
            "{} ms",
            case.deadline_ms
        );
    }
}

/// Daemons that decide at once on equal reports, without knowing of each other's requests, must not
/// all send to one endpoint until its next report. Choosing only by the lowest cost would make them
/// choose alike.
#[test]
fn daemons_with_equal_reports_spread_their_requests() {
    let mut counts: BTreeMap<EndpointId, usize> = BTreeMap::new();
    for seed in 0..400 {
        let mut router = Router::new(Box::new(CostPolicy::default()), seed);
        router
            .endpoints
            .apply_endpoint_configuration(&configuration(ServiceKind::Engine, 8), START);
        for number in 0..8 {
            router
                .endpoints
                .record_report(&endpoint(number), idle_report(START), START);
        }
        let choice = router.choose(&request(1_000), &NoLinks, START).unwrap();
        *counts.entry(choice.endpoint).or_default() += 1;
    }
    assert_eq!(counts.len(), 8, "{counts:?}");
    assert!(counts.values().all(|count| *count < 160), "{counts:?}");
}

#[test]
fn equal_seeds_and_events_give_equal_choices() {
    let run = || {
        let mut router = router(100);
        let choices = (0..50).map(|_| {
            router
                .choose(&request(50), &NoLinks, START)
                .unwrap()
                .endpoint
        });
        choices.collect::<Vec<EndpointId>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn large_pool_finds_the_holder_and_the_last_eligible_endpoint() {
    let mut router = router(1_200);
    let request = request(1_000);
    router
        .directory
        .replace_endpoint_listing(&endpoint(777), &block_keys(&request));
    let choice = router.choose(&request, &NoLinks, START).unwrap();
    assert_eq!(choice.endpoint, endpoint(777));
    assert!(choice.weighed.len() < 30, "{}", choice.weighed.len());
    let only_last_allowed = RouteRequest {
        exclude: (0..1_199).map(endpoint).collect(),
        ..request
    };
    let choice = router.choose(&only_last_allowed, &NoLinks, START).unwrap();
    assert_eq!(choice.endpoint, endpoint(1_199));
}

/// An endpoint that has just failed must not get a burst of requests when its ejection ends.
/// Without a probe by a single request, the idle endpoint looks best to all requests that arrive
/// together.
#[test]
fn probed_endpoint_gets_one_request_at_a_time() {
    let mut router = router(2);
    let fail_once = |router: &mut Router| {
        let attempt =
            router
                .endpoints
                .begin_attempt(&endpoint(0), TokenCount::ZERO, DurationUs::ZERO, START);
        router
            .endpoints
            .record_failure(attempt.unwrap(), AttemptFailure::Broken, START);
    };
    (0..5).for_each(|_| fail_once(&mut router));
    let now = after_ms(10_000);
    for number in 0..2 {
        router
            .endpoints
            .record_report(&endpoint(number), idle_report(now), now);
    }
    router.tick(now);
    let only_probed = RouteRequest {
        exclude: vec![endpoint(1)],
        ..request(10)
    };
    let choice = router.choose(&only_probed, &NoLinks, now).unwrap();
    assert_eq!(choice.endpoint, endpoint(0));
    let probe =
        router
            .endpoints
            .begin_attempt(&endpoint(0), TokenCount::ZERO, DurationUs::ZERO, now);
    let refused = router.choose(&only_probed, &NoLinks, now).unwrap_err();
    assert_eq!(refused.code, Code::NoEndpoint);
    router.endpoints.record_success(probe.unwrap(), now);
    assert!(router.choose(&only_probed, &NoLinks, now).is_ok());
}

#[test]
fn plain_services_are_chosen_by_load_and_zone() {
    struct Case {
        name: &'static str,
        running: [u64; 3],
        chosen: usize,
    }
    // Endpoints 0 and 2 are in the daemon's availability zone.
    let cases = [
        Case {
            name: "the idle endpoint",
            running: [4, 4, 0],
            chosen: 2,
        },
        Case {
            name: "an idle endpoint of another zone before a full one of this zone",
            running: [9, 0, 9],
            chosen: 1,
        },
        Case {
            name: "of equal endpoints the one in this zone",
            running: [4, 0, 0],
            chosen: 2,
        },
    ];
    for case in cases {
        let mut router = Router::new(Box::new(CostPolicy::default()), 3);
        router
            .endpoints
            .apply_endpoint_configuration(&configuration(ServiceKind::Plain, 3), START);
        for (number, running) in case.running.into_iter().enumerate() {
            let load = EndpointLoad {
                running,
                models: vec![],
                batch_slots: 4,
                prefill_tokens_per_s: TokenRate::ZERO,
                ..idle_report(START)
            };
            router
                .endpoints
                .record_report(&endpoint(number), load, START);
        }
        let request = RouteRequest {
            model: None,
            weight_version: None,
            chain: Default::default(),
            ..request(0)
        };
        let choice = router.choose(&request, &NoLinks, START).unwrap();
        assert_eq!(choice.endpoint, endpoint(case.chosen), "{}", case.name);
    }
}

/// Estimates must not grow with every queue until all requests are refused. Requests that wait at a
/// busy endpoint and end as expected must not add their wait to the service time.
#[test]
fn waiting_time_is_not_counted_as_service_time() {
    let mut router = router(1);
    let load = EndpointLoad {
        running: 1,
        batch_slots: 1,
        ..idle_report(START)
    };
    router.endpoints.record_report(&endpoint(0), load, START);
    for _ in 0..50 {
        let wait = router
            .choose(&request(0), &NoLinks, START)
            .unwrap()
            .estimate
            .first_token_us;
        let attempt = router
            .endpoints
            .begin_attempt(&endpoint(0), TokenCount::ZERO, wait, START);
        let end = START + wait + DurationUs::from_ms(30);
        router.endpoints.record_success(attempt.unwrap(), end);
    }
    let estimate = router
        .choose(&request(0), &NoLinks, START)
        .unwrap()
        .estimate;
    assert_eq!(estimate.queue_us.as_ms(), 30);
}

#[test]
fn engine_without_a_reported_rate_gets_the_default_rate() {
    let mut router = router(2);
    let load = EndpointLoad {
        prefill_tokens_per_s: TokenRate::ZERO,
        queued_tokens: TokenCount::new(100_000),
        ..idle_report(START)
    };
    router.endpoints.record_report(&endpoint(0), load, START);
    let choice = router.choose(&request(100), &NoLinks, START).unwrap();
    assert_eq!(choice.endpoint, endpoint(1));
}

#[test]
fn policies_parse_from_the_name_that_they_report() {
    for kind in PolicyKind::ALL {
        let policy = kind.to_string().parse::<PolicyKind>().unwrap().build();
        assert_eq!(policy.name(), kind.to_string());
    }
    assert_eq!("fastest".parse::<PolicyKind>(), Err(ParsePolicyError));
}

#[test]
fn baselines_choose_as_their_names_say() {
    struct Case {
        policy: Box<dyn Policy>,
        chosen: [usize; 4],
    }
    let cases = [
        Case {
            policy: Box::new(RoundRobin::default()),
            chosen: [0, 1, 2, 0],
        },
        Case {
            policy: Box::new(LeastLoaded),
            chosen: [1, 1, 1, 1],
        },
    ];
    for case in cases {
        let name = case.policy.name();
        let mut router = router_with(case.policy, 3);
        for (number, running) in [5, 1, 4].into_iter().enumerate() {
            let load = EndpointLoad {
                running,
                ..idle_report(START)
            };
            router
                .endpoints
                .record_report(&endpoint(number), load, START);
        }
        let chosen = case.chosen.map(|_| {
            router
                .choose(&request(20), &NoLinks, START)
                .unwrap()
                .endpoint
        });
        assert_eq!(chosen, case.chosen.map(endpoint), "{name}");
    }
    let mut router = router_with(Box::new(Affinity), 9);
    let mut chosen = |workspace: &str| {
        let chain = crate::route_fixture::chain(workspace, &crate::route_fixture::words(40));
        let request = RouteRequest {
            chain,
            ..request(40)
        };
        router
            .choose(&request, &links(10, 2, 0), START)
            .unwrap()
            .endpoint
    };
    let workspaces: Vec<String> = (0..20).map(|number| format!("w{number}")).collect();
    let first: Vec<EndpointId> = workspaces.iter().map(|name| chosen(name)).collect();
    let second: Vec<EndpointId> = workspaces.iter().map(|name| chosen(name)).collect();
    assert_eq!(first, second);
    assert!(first.iter().any(|endpoint| *endpoint != first[0]));
}

struct PriorityCase {
    name: &'static str,
    /// Priority of the rule and number of tokens to compute.
    first: (u8, u64),
    second: (u8, u64),
}

#[test]
fn short_prompts_go_first_within_a_rules_priority() {
    let cases = [
        PriorityCase {
            name: "a returning prompt before a long new one",
            first: (8, 400),
            second: (8, 16_000),
        },
        PriorityCase {
            name: "one piece before two",
            first: (0, 2_000),
            second: (0, 4_000),
        },
        PriorityCase {
            name: "the rule's priority before the length",
            first: (6, 16_000),
            second: (5, 1),
        },
        PriorityCase {
            name: "the highest that a rule can give",
            first: (u8::MAX, 16_000),
            second: (9, 1),
        },
    ];
    let priority = |(rule, tokens): (u8, u64)| {
        engine_priority(rule, TokenCount::new(tokens), TokenCount::new(2_000))
    };
    for case in cases {
        assert!(
            priority(case.first) > priority(case.second),
            "{}",
            case.name
        );
    }
}
