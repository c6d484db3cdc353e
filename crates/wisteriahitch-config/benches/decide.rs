//! Time of a decision, and of a change of one workspace, by number of workspaces.

use std::fmt::Write;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use wisteriahitch_config::{Configuration, RequestFacts, Sections, key_hash};

/// Current number of workspaces, and the number expected within two years.
const WORKSPACES: [usize; 2] = [10, 3_200];

/// Builds a site in which every workspace has a rule of its own, followed by three general rules.
/// More rules would not fit into the one section that holds all rules.
fn text(workspaces: usize) -> String {
    let mut text = String::from(
        "[[services]]\nname = \"till\"\nkind = \"plain\"\nendpoints = [{ id = \"till-1\", \
         address = \"127.0.0.1:9000\", availability_zone = \"a\", checks_fence = false }]\n",
    );
    for number in 0..workspaces {
        text.push_str(&workspace(number, 1));
    }
    for number in 0..workspaces {
        let _ = write!(
            text,
            "[[rules]]\nname = \"own-{number}\"\nthen.route.service = \"till\"\n\
             when = {{ workspaces = [\"w{number}\"], methods = [\"POST\"], \
             path_prefixes = [\"/own\"] }}\n"
        );
    }
    for method in ["GET", "POST"] {
        let _ = write!(
            text,
            "[[rules]]\nname = \"{method}\"\nwhen.methods = [\"{method}\"]\n\
             when.path_prefixes = [\"/stock\"]\nthen.route.service = \"till\"\n"
        );
    }
    text.push_str("[[rules]]\nname = \"default\"\nthen.refuse.reason = \"no\"\n");
    text
}

fn workspace(number: usize, weight: u32) -> String {
    let hash = key_hash(&format!("secret-{number}"));
    format!(
        "[[workspaces]]\nid = \"w{number}\"\nkey_hashes = [\"{hash}\"]\nweight = {weight}\n\
         store_bytes = 1_000\n"
    )
}

fn facts(workspaces: usize, path: &str) -> RequestFacts {
    RequestFacts {
        workspace: format!("w{}", workspaces - 1).parse().ok(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        ..RequestFacts::default()
    }
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for workspaces in WORKSPACES {
        let configuration = Configuration::check(&text(workspaces)).expect("the text is valid");
        for (name, path) in [
            ("own", "/own/7"),
            ("general", "/stock/7"),
            ("default", "/x"),
        ] {
            let facts = facts(workspaces, path);
            group.bench_function(BenchmarkId::new(name, workspaces), |bencher| {
                bencher.iter(|| black_box(configuration.decide(black_box(&facts))));
            });
        }
    }
    group.finish();
}

fn change(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change");
    group.sample_size(10);
    for workspaces in WORKSPACES {
        let text = text(workspaces);
        let sections = Sections::split(&text).expect("the text is valid");
        let changed = workspace(0, 2);
        group.bench_function(BenchmarkId::new("check", workspaces), |bencher| {
            bencher.iter(|| Configuration::check(black_box(&text)));
        });
        group.bench_function(BenchmarkId::new("assemble", workspaces), |bencher| {
            bencher.iter(|| sections.assemble());
        });
        group.bench_function(BenchmarkId::new("accept", workspaces), |bencher| {
            bencher.iter(|| sections.accept(black_box(&changed)));
        });
    }
    group.finish();
}

criterion_group!(benches, decide, change);
criterion_main!(benches);
