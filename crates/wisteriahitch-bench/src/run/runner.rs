//! Runs a schedule against a site.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};
use wisteriahitch::types::Meaning;

use super::control::ControlClient;
use super::counters::Counters;
use super::entry_list::EntryList;
use super::fault::{FaultName, FaultRunner, FaultSpan};
use super::plain_checker::{PlainChecker, PlainFaults};
use super::processes::{machine_load, own_use};
use super::progress::Progress;
use super::requester::Requester;
use super::{Outcome, ProcessUse, Record, RunOptions, Subject};
use crate::caller::Caller;
use crate::demo::poll;
use crate::load::{Arrival, LoadOptions, Schedule, Surge};
use crate::site::{SiteAddresses, SiteSizes};

/// Longest wait for the last answers.
const MAX_TAIL: Duration = Duration::from_secs(90);

/// How many times as much a workspace asks for in the fault `tenfold`.
const SURGE_FACTOR: f64 = 10.0;

/// Workspace that does; the examples' first three are the large ones.
pub(crate) const SURGE_WORKSPACE: usize = 4;

/// Holds everything that one run showed.
pub struct RunResult {
    /// What was run.
    pub options: RunOptions,
    /// Site.
    pub site: SiteAddresses,
    /// Sizes of the site.
    pub sizes: SiteSizes,
    /// Conversations that began in a second.
    pub conversations_per_s: f64,
    /// What became of each request.
    pub records: Vec<Record>,
    /// Requests whose end was not waited for any longer.
    pub unended: u64,
    /// Counters at the start of measuring.
    pub before: Counters,
    /// Counters at its end.
    pub after: Counters,
    /// When the fault was there.
    pub fault_span: Option<FaultSpan>,
    /// Calls that may not be repeated.
    pub(crate) plain: PlainFaults,
    /// Prompts that ran although the system said that they had not been run.
    pub falsely_refused_prompts: u64,
    /// Processor time and memory of the tool itself.
    pub own: ProcessUse,
    /// Load averages of the machine at the start and at the end.
    pub machine_load: [String; 2],
    /// Each daemon's own dump at the end.
    pub dumps: BTreeMap<String, Value>,
}

/// Runs a schedule against a site that a script has started.
///
/// # Errors
///
/// Fails when the site isn't ready, or a fault can't be brought about.
pub async fn run(options: RunOptions) -> anyhow::Result<RunResult> {
    let site = SiteAddresses::read(&options.directory)?;
    let client = ControlClient::new();
    wait_until_ready(&client, &site).await?;
    let load_at_start = machine_load();
    let sizes = SiteSizes::of(site.site);
    let span = fault_span(&options);
    let mut schedule = Schedule::generate(&load_options(&options, &site, span), &sizes);
    if options.is_idle {
        schedule.arrivals.clear();
    }
    let measured = Measured::new(&options, &site, &client, sizes, span);
    let start = measured.start;
    let fault = tokio::spawn(measured.fault_runner().run());
    let before = tokio::spawn(measured.clone().count_at(options.warm_up_s));
    let after = tokio::spawn(measured.clone().count_at(options.duration_s));
    let (records, unended) = measured.send_all(schedule.arrivals).await;
    let fault_span = fault.await?.context("bringing a fault about failed")?;
    let plain = measured.plain.check(&client, &site.services).await;
    let runs = engine_runs(&client, &site).await;
    let falsely_refused_prompts = falsely_refused(&records, &runs);
    eprintln!(
        "\nrun ended {} s after its start",
        start.elapsed().as_secs()
    );
    Ok(RunResult {
        sizes: (*measured.sizes).clone(),
        conversations_per_s: schedule.conversations_per_s,
        records,
        unended,
        before: before.await?,
        after: after.await?,
        fault_span: (options.fault != FaultName::None).then_some(fault_span),
        plain,
        falsely_refused_prompts,
        own: own_use(),
        machine_load: [load_at_start, machine_load()],
        dumps: dumps(&client, &site).await,
        site,
        options,
    })
}

/// Holds what the tasks of a run share.
#[derive(Clone)]
struct Measured {
    options: RunOptions,
    site: SiteAddresses,
    sizes: Arc<SiteSizes>,
    client: ControlClient,
    plain: Arc<PlainChecker>,
    span: FaultSpan,
    start: Instant,
}

impl Measured {
    fn new(
        options: &RunOptions,
        site: &SiteAddresses,
        client: &ControlClient,
        sizes: SiteSizes,
        span: FaultSpan,
    ) -> Self {
        Self {
            options: options.clone(),
            site: site.clone(),
            sizes: Arc::new(sizes),
            client: client.clone(),
            plain: Arc::new(PlainChecker::new(options.seed)),
            span,
            start: Instant::now() + Duration::from_millis(500),
        }
    }

    fn fault_runner(&self) -> FaultRunner {
        FaultRunner {
            fault: self.options.fault,
            site: self.site.clone(),
            directory: self.options.directory.clone(),
            client: self.client.clone(),
            start: self.start,
            span: self.span,
        }
    }

    async fn count_at(self, at_s: u64) -> Counters {
        sleep_until((self.start + Duration::from_secs(at_s)).into()).await;
        Counters::take(&self.client, &self.site, &self.options.directory).await
    }

    /// Sends every request at its time, whatever became of those before it.
    async fn send_all(&self, arrivals: Vec<Arrival>) -> (Vec<Record>, u64) {
        let mut background = JoinSet::new();
        let requesters = self.requesters(&mut background);
        let progress = Arc::new(Progress::default());
        background.spawn(Arc::clone(&progress).show(self.start, self.options.duration_s));
        let mut requests = JoinSet::new();
        for arrival in arrivals {
            sleep_until((self.start + Duration::from_micros(arrival.at_us)).into()).await;
            let requester = Arc::clone(&requesters[arrival.workspace]);
            let progress = Arc::clone(&progress);
            progress.sent.fetch_add(1, Ordering::Relaxed);
            requests.spawn(async move {
                let record = requester.send(arrival).await;
                let counter = match record.outcome {
                    Outcome::Answered { .. } => &progress.answered,
                    Outcome::Refused { .. } => &progress.refused,
                    _ => &progress.failed,
                };
                counter.fetch_add(1, Ordering::Relaxed);
                record
            });
        }
        let mut records = Vec::with_capacity(requests.len());
        let end = Instant::now() + MAX_TAIL;
        while let Ok(Some(ended)) = timeout(end - Instant::now(), requests.join_next()).await {
            records.extend(ended.ok());
        }
        let unended = requests.len() as u64;
        (records, unended)
    }

    fn requesters(&self, background: &mut JoinSet<()>) -> Vec<Arc<Requester>> {
        let seeds: Vec<_> = self
            .site
            .daemons
            .iter()
            .map(|daemon| daemon.callers)
            .collect();
        let workspaces = self.site.workspaces.iter().enumerate();
        let requesters = workspaces.map(|(number, workspace)| {
            let caller = Caller::new(format!("demo-key-{}", workspace.id));
            let entries = Arc::new(EntryList::new(seeds.clone()));
            if !self.options.is_idle {
                background.spawn(Arc::clone(&entries).refresh_forever(caller.clone()));
            }
            Arc::new(Requester {
                workspace: number,
                caller,
                entries,
                model: self.site.model.clone(),
                sizes: Arc::clone(&self.sizes),
                plain: Arc::clone(&self.plain),
                start: self.start,
            })
        });
        requesters.collect()
    }
}

fn load_options(options: &RunOptions, site: &SiteAddresses, span: FaultSpan) -> LoadOptions {
    let surge = Surge {
        workspace: SURGE_WORKSPACE,
        factor: SURGE_FACTOR,
        from_us: span.from_us,
        until_us: span.until_us,
    };
    LoadOptions {
        seed: options.seed,
        duration_us: options.duration_s * 1_000_000,
        load_share: options.load_share,
        capacity: options.capacity,
        engines: site.engines.len(),
        workspaces: site.workspaces.iter().map(|row| row.share).collect(),
        answer_tokens: options.answer_tokens,
        surge: (options.fault == FaultName::Tenfold).then_some(surge),
    }
}

/// Lets a fault begin after a third of the measured time, and last for a sixth of it.
fn fault_span(options: &RunOptions) -> FaultSpan {
    let warm_up_us = options.warm_up_s * 1_000_000;
    let measured_us = options.duration_s.saturating_sub(options.warm_up_s) * 1_000_000;
    FaultSpan {
        from_us: warm_up_us + measured_us / 3,
        until_us: warm_up_us + measured_us / 2,
    }
}

async fn wait_until_ready(client: &ControlClient, site: &SiteAddresses) -> anyhow::Result<()> {
    ensure!(!site.daemons.is_empty(), "the site has no daemon");
    for daemon in &site.daemons {
        let what = format!("{} to be ready", daemon.name);
        poll(&what, async || {
            let status = client.get(daemon.operators, "/v1/status").await?;
            let rows = |name: &str| status[name].as_array().cloned().unwrap_or_default();
            let are_ready = |rows: &[Value], state: &str| {
                !rows.is_empty() && rows.iter().all(|row| row["state"] == state)
            };
            let alive = rows("daemons")
                .iter()
                .filter(|row| row["state"] == "alive")
                .count();
            Ok(are_ready(&rows("endpoints"), "ready")
                && are_ready(&rows("stores"), "seen")
                && alive >= site.daemons.len())
        })
        .await?;
    }
    Ok(())
}

/// Returns how often each engine ran each request.
async fn engine_runs(client: &ControlClient, site: &SiteAddresses) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for engine in &site.engines {
        let Ok(page) = client.get(engine.address, "/control").await else {
            continue;
        };
        for (request, count) in page["runs"].as_object().into_iter().flatten() {
            *runs.entry(request.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    runs
}

fn falsely_refused(records: &[Record], runs: &BTreeMap<String, u64>) -> u64 {
    let is_false = |record: &&Record| match (&record.subject, &record.outcome) {
        (
            Subject::Prompt(_),
            Outcome::Refused {
                meaning: Meaning::NotRun,
                request_id: Some(request),
                ..
            },
        ) => runs.contains_key(request),
        _ => false,
    };
    records.iter().filter(is_false).count() as u64
}

async fn dumps(client: &ControlClient, site: &SiteAddresses) -> BTreeMap<String, Value> {
    let mut dumps = BTreeMap::new();
    for daemon in &site.daemons {
        if let Ok(dump) = client.get(daemon.operators, "/debug/state").await {
            dumps.insert(daemon.name.clone(), dump);
        }
    }
    dumps
}
