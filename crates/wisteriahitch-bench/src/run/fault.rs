//! Faults that are brought about during a run.

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, Instant};

use anyhow::Context;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::control::ControlClient;
use crate::site::{SiteAddresses, configuration_path, read_pids};

/// How many times as long a slow link takes.
const SLOW_FACTOR: u32 = 10;

/// Weight version that a rollout brings.
const NEXT_VERSION: &str = "bench-next";

const POLL_PAUSE: Duration = Duration::from_millis(100);
const MAX_ROLLOUT: Duration = Duration::from_secs(60);

/// Names a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultName {
    /// None.
    None,
    /// The store VM with the assistants' blocks dies and comes back empty.
    StoreDeath,
    /// That store VM takes no further block.
    StoreFull,
    /// Its link takes ten times as long.
    SlowLink,
    /// An endpoint stands still.
    EndpointFreeze,
    /// A daemon is killed and started again.
    DaemonKill,
    /// The platform answers no call.
    PlatformOutage,
    /// Operators submit other weights.
    WeightRollout,
    /// A small workspace asks for ten times as much.
    Tenfold,
}

/// Names of the faults as the command line takes them.
const NAMES: [(&str, FaultName); 9] = [
    ("none", FaultName::None),
    ("store-death", FaultName::StoreDeath),
    ("store-full", FaultName::StoreFull),
    ("slow-link", FaultName::SlowLink),
    ("endpoint-freeze", FaultName::EndpointFreeze),
    ("daemon-kill", FaultName::DaemonKill),
    ("platform-outage", FaultName::PlatformOutage),
    ("weight-rollout", FaultName::WeightRollout),
    ("tenfold", FaultName::Tenfold),
];

impl fmt::Display for FaultName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = NAMES.iter().find(|(_, fault)| fault == self);
        f.write_str(found.map_or("", |(name, _)| name))
    }
}

impl FromStr for FaultName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = NAMES.iter().find(|(name, _)| *name == text);
        let names: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
        found
            .map(|(_, fault)| *fault)
            .ok_or_else(|| format!("{text:?} is not one of {}", names.join(", ")))
    }
}

/// Says when a fault was there, from the start of the run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FaultSpan {
    /// From when on.
    pub from_us: u64,
    /// Until when.
    pub until_us: u64,
}

/// Brings a fault about and ends it.
pub(crate) struct FaultRunner {
    pub(crate) fault: FaultName,
    pub(crate) site: SiteAddresses,
    pub(crate) directory: PathBuf,
    pub(crate) client: ControlClient,
    pub(crate) start: Instant,
    /// When it is to be there.
    pub(crate) span: FaultSpan,
}

impl FaultRunner {
    /// Brings the fault about at its time, and returns when it was really there.
    ///
    /// # Errors
    ///
    /// Fails when a process that is to fail can't be told to.
    pub(crate) async fn run(self) -> anyhow::Result<FaultSpan> {
        self.sleep_until(self.span.from_us).await;
        let from_us = self.now_us();
        self.begin()
            .await
            .context("the fault can't be brought about")?;
        if self.fault == FaultName::WeightRollout {
            self.wait_for_rollout().await?;
        } else {
            self.sleep_until(self.span.until_us).await;
        }
        self.end().await.context("the fault can't be ended")?;
        Ok(FaultSpan {
            from_us,
            until_us: self.now_us(),
        })
    }

    async fn begin(&self) -> anyhow::Result<()> {
        match self.fault {
            FaultName::None | FaultName::Tenfold => Ok(()),
            FaultName::StoreDeath => self.kill(&self.site.stores[0].name),
            FaultName::DaemonKill => self.kill(&self.site.daemons[1].name),
            FaultName::StoreFull => self.store_fault(json!("full")).await,
            FaultName::SlowLink => {
                self.store_fault(json!({ "slow_factor": SLOW_FACTOR }))
                    .await
            }
            FaultName::EndpointFreeze => self.engine_fault("freeze").await,
            FaultName::PlatformOutage => self.platform_mode("down").await,
            FaultName::WeightRollout => self.submit_rollout().await,
        }
    }

    async fn end(&self) -> anyhow::Result<()> {
        match self.fault {
            FaultName::None | FaultName::Tenfold | FaultName::WeightRollout => Ok(()),
            FaultName::StoreDeath => self.ask_for_restart(&self.site.stores[0].name),
            FaultName::DaemonKill => self.ask_for_restart(&self.site.daemons[1].name),
            FaultName::StoreFull | FaultName::SlowLink => self.store_fault(json!("none")).await,
            FaultName::EndpointFreeze => self.engine_fault("none").await,
            FaultName::PlatformOutage => self.platform_mode("up").await,
        }
    }

    fn kill(&self, name: &str) -> anyhow::Result<()> {
        let pids = read_pids(&self.directory);
        let pid = pids
            .get(name)
            .with_context(|| format!("{name} isn't in the file of pids"))?;
        Ok(kill(Pid::from_raw(*pid), Signal::SIGKILL)?)
    }

    /// Leaves the script a note, since a program of the project starts no other one.
    fn ask_for_restart(&self, name: &str) -> anyhow::Result<()> {
        Ok(std::fs::write(self.directory.join("restart"), name)?)
    }

    async fn store_fault(&self, fault: serde_json::Value) -> anyhow::Result<()> {
        let body = json!({ "fault": fault }).to_string();
        let address = self.site.stores[0].address;
        self.client.post(address, "/control", body).await?;
        Ok(())
    }

    async fn engine_fault(&self, fault: &str) -> anyhow::Result<()> {
        let body = json!({ "fault": fault }).to_string();
        let address = self.site.engines[0].address;
        self.client.post(address, "/control", body).await?;
        Ok(())
    }

    async fn platform_mode(&self, mode: &str) -> anyhow::Result<()> {
        let body = json!({ "mode": mode }).to_string();
        let address = self.site.platform.address;
        self.client.post(address, "/control", body).await?;
        Ok(())
    }

    async fn submit_rollout(&self) -> anyhow::Result<()> {
        let text = std::fs::read_to_string(configuration_path(&self.directory))?;
        let mut table: toml::Table = text.parse()?;
        let models = table.get_mut("models").and_then(toml::Value::as_array_mut);
        let model = models.and_then(|models| models.first_mut()?.as_table_mut());
        let model = model.context("the configuration has no model")?;
        model.insert("weight_version".to_owned(), NEXT_VERSION.into());
        let operators = self.site.daemons[0].operators;
        let path = "/v1/config?submission=bench-rollout";
        self.client
            .post(operators, path, toml::to_string(&table)?)
            .await?;
        Ok(())
    }

    async fn wait_for_rollout(&self) -> anyhow::Result<()> {
        let operators = self.site.daemons[0].operators;
        let began = Instant::now();
        while began.elapsed() < MAX_ROLLOUT {
            tokio::time::sleep(POLL_PAUSE).await;
            let status = self.client.get(operators, "/v1/status").await?;
            let rollout = &status["rollout"];
            if rollout["pending"] == 0 && rollout["done"].as_u64() > Some(0) {
                return Ok(());
            }
        }
        anyhow::bail!("the rollout did not end within {} s", MAX_ROLLOUT.as_secs())
    }

    async fn sleep_until(&self, at_us: u64) {
        let at = self.start + Duration::from_micros(at_us);
        tokio::time::sleep_until(at.into()).await;
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
