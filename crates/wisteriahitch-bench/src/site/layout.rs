//! Writes the files that a script starts a site from.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, ensure};
use toml::{Table, Value};
use wisteriahitch::config::PolicyName;

use super::{
    DaemonAddresses, Place, SiteAddresses, SiteName, SiteSizes, StorePlace, WorkspaceShare,
};

const CHAINLINE: &str = include_str!("../../../../examples/chainline.toml");
const LANYU: &str = include_str!("../../../../examples/lanyu.toml");

/// Hash of the operators' key `demo-operator-key`.
const OPERATOR_KEY_HASH: &str = "c38c08ab1c51df9a334770f217a2b6de";

/// How many times the example's quotas are taken, since the bench runs faster than a site.
const QUOTA_FACTOR: i64 = 10;

const CALLERS_PORT: u16 = 10;
const PEERS_PORT: u16 = 30;
const OPERATORS_PORT: u16 = 50;
const ENGINES_PORT: u16 = 100;
const SERVICES_PORT: u16 = 200;
const STORES_PORT: u16 = 300;

/// Says what is laid out, and where.
#[derive(Clone, Debug)]
pub struct LayoutOptions {
    /// Site.
    pub site: SiteName,
    /// Policy of its daemons.
    pub policy: PolicyName,
    /// Port of the platform; the others follow above it.
    pub first_port: u16,
    /// Daemons, or nothing for as many as the site has.
    pub daemons: Option<usize>,
    /// Engines, or nothing for as many as the site has.
    pub engines: Option<usize>,
    /// Directory that the files are written to.
    pub directory: PathBuf,
}

/// Gathers the lines by which a script starts the processes.
struct Layout<'a> {
    options: &'a LayoutOptions,
    sizes: SiteSizes,
    table: Table,
    /// One process a line: its name, its program and its arguments, with tabs between.
    commands: String,
}

/// Writes the configuration, the daemons' settings, the addresses and the commands.
///
/// # Errors
///
/// Fails when the example doesn't parse or a file can't be written.
pub fn write_layout(options: &LayoutOptions) -> anyhow::Result<()> {
    let example = match options.site {
        SiteName::Chainline => CHAINLINE,
        SiteName::Lanyu => LANYU,
    };
    let mut layout = Layout {
        options,
        sizes: SiteSizes::of(options.site),
        table: example.parse()?,
        commands: String::new(),
    };
    std::fs::create_dir_all(&options.directory)?;
    let addresses = layout.lay_out()?;
    layout.write("site.toml", &toml::to_string(&layout.table)?)?;
    layout.write("commands", &layout.commands)?;
    layout.write("site.json", &serde_json::to_string_pretty(&addresses)?)
}

impl Layout<'_> {
    fn lay_out(&mut self) -> anyhow::Result<SiteAddresses> {
        let platform = self.address(0);
        self.command("platform", &format!("--listen\t{platform}\tplatform"));
        let (model, weight_version, adapters) = self.set_model()?;
        let stores = self.set_stores()?;
        let (engines, services) =
            self.set_endpoints(&format!("{model}@{weight_version}"), &adapters)?;
        let workspaces = self.set_workspaces()?;
        if let Some(limits) = self.table.get_mut("limits").and_then(Value::as_table_mut) {
            limits.insert("entries_ttl_s".to_owned(), Value::Integer(2));
        }
        let daemons = self.write_daemons(platform)?;
        Ok(SiteAddresses {
            site: self.options.site,
            policy: self.options.policy.to_string(),
            model: model.parse()?,
            weight_version: weight_version.parse()?,
            platform: Place {
                name: "platform".to_owned(),
                address: platform,
            },
            daemons,
            engines,
            services,
            stores,
            workspaces,
        })
    }

    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.options.first_port + offset))
    }

    fn command(&mut self, name: &str, arguments: &str) {
        let _ = writeln!(self.commands, "{name}\twisteriahitch-standin\t{arguments}");
    }

    fn write(&self, name: &str, text: &str) -> anyhow::Result<()> {
        let path = self.options.directory.join(name);
        std::fs::write(&path, text).with_context(|| format!("{} can't be written", path.display()))
    }

    fn rows(&mut self, name: &str) -> anyhow::Result<Vec<&mut Table>> {
        let rows = self.table.get_mut(name).and_then(Value::as_array_mut);
        let rows = rows.with_context(|| format!("the example has no {name}"))?;
        Ok(rows.iter_mut().filter_map(Value::as_table_mut).collect())
    }

    fn set_model(&mut self) -> anyhow::Result<(String, String, Vec<String>)> {
        let bytes = self.sizes.bytes_per_token.get();
        let mut models = self.rows("models")?;
        ensure!(models.len() == 1, "the example has one model");
        models[0].insert("bytes_per_token".to_owned(), integer(bytes));
        let adapters = models[0].get("adapters").and_then(Value::as_array);
        let adapters = adapters.into_iter().flatten().filter_map(Value::as_str);
        let adapters = adapters.map(str::to_owned).collect();
        Ok((
            text(models[0], "name")?,
            text(models[0], "weight_version")?,
            adapters,
        ))
    }

    fn set_stores(&mut self) -> anyhow::Result<Vec<StorePlace>> {
        let sizes = self.sizes.clone();
        let first = self.address(STORES_PORT);
        let mut stores = Vec::new();
        for (number, row) in self.rows("stores")?.into_iter().enumerate() {
            let address = offset(first, number);
            let (rate, memory, disk) = (
                sizes.link_bytes_per_s[number],
                sizes.memory_bytes[number],
                sizes.disk_bytes[number],
            );
            row.insert("address".to_owned(), address.to_string().into());
            row.insert("link_rate_bytes_per_s".to_owned(), integer(rate.get()));
            row.insert("memory_bytes".to_owned(), integer(memory.get()));
            row.insert("disk_bytes".to_owned(), integer(disk.get()));
            stores.push(StorePlace {
                name: text(row, "id")?,
                address,
                link_bytes_per_s: rate,
            });
        }
        for (number, store) in stores.iter().enumerate() {
            let arguments = format!(
                "--listen\t{}\tstore\t--memory-bytes\t{}\t--disk-bytes\t{}\t--link-bytes-per-s\t{}",
                store.address,
                sizes.memory_bytes[number].get(),
                sizes.disk_bytes[number].get(),
                store.link_bytes_per_s.get(),
            );
            self.command(&store.name, &arguments);
        }
        Ok(stores)
    }

    fn set_endpoints(
        &mut self,
        model: &str,
        adapters: &[String],
    ) -> anyhow::Result<(Vec<Place>, Vec<Place>)> {
        let first_engine = self.address(ENGINES_PORT);
        let first_service = self.address(SERVICES_PORT);
        let wanted = self.options.engines;
        let (mut engines, mut services, mut fenced) = (Vec::new(), Vec::new(), Vec::new());
        for service in self.rows("services")? {
            let is_engine = text(service, "kind")? == "engine";
            let (places, first) = match is_engine {
                true => (&mut engines, first_engine),
                false => (&mut services, first_service),
            };
            let rows = service.get_mut("endpoints").and_then(Value::as_array_mut);
            let rows = rows.context("a service of the example has no endpoint")?;
            if let Some(wanted) = wanted.filter(|_| is_engine) {
                resize(rows, wanted);
            }
            for row in rows.iter_mut().filter_map(Value::as_table_mut) {
                let address = offset(first, places.len());
                row.insert("address".to_owned(), address.to_string().into());
                if is_engine {
                    fenced.push(row.get("checks_fence").and_then(Value::as_bool) == Some(true));
                }
                places.push(Place {
                    name: text(row, "id")?,
                    address,
                });
            }
        }
        for (engine, checks_fence) in engines.iter().zip(fenced) {
            self.engine_command(engine, model, adapters, checks_fence);
        }
        let work_ms = self.sizes.plain_work_us.as_ms();
        for service in &services {
            let arguments = format!(
                "--listen\t{}\tservice\t--work-ms\t{work_ms}",
                service.address
            );
            self.command(&service.name, &arguments);
        }
        Ok((engines, services))
    }

    fn engine_command(
        &mut self,
        engine: &Place,
        model: &str,
        adapters: &[String],
        checks_fence: bool,
    ) {
        let sizes = &self.sizes;
        let mut arguments = format!(
            "--listen\t{}\tengine\t--id\t{}\t--model\t{model}\t--kv-bytes-per-token\t{}\
             \t--prefill-tokens-per-s\t{}\t--decode-us-per-token\t{}\t--batch-slots\t{}\
             \t--kv-capacity-tokens\t{}",
            engine.address,
            engine.name,
            sizes.bytes_per_token.get(),
            sizes.prefill_tokens_per_s.get(),
            sizes.decode_us.get(),
            sizes.batch_slots,
            sizes.kv_capacity_tokens.get(),
        );
        for adapter in adapters {
            let _ = write!(arguments, "\t--adapter\t{adapter}");
        }
        if checks_fence {
            arguments.push_str("\t--checks-fence");
        }
        self.command(&engine.name.clone(), &arguments);
    }

    fn set_workspaces(&mut self) -> anyhow::Result<Vec<WorkspaceShare>> {
        let room = self.sizes.memory_bytes[0].get() + self.sizes.disk_bytes[0].get();
        let rows = self.rows("workspaces")?;
        let mut weights = Vec::new();
        for row in rows {
            let weight = row.get("weight").and_then(Value::as_integer).unwrap_or(1);
            weights.push((text(row, "id")?, weight as f64));
            for quota in ["requests_per_s", "prompt_tokens_per_s"] {
                if let Some(Value::Integer(value)) = row.get_mut(quota) {
                    *value *= QUOTA_FACTOR;
                }
            }
            row.insert("store_bytes".to_owned(), integer(room));
        }
        let all: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let shares = weights.into_iter().map(|(id, weight)| WorkspaceShare {
            id,
            share: weight / all,
        });
        Ok(shares.collect())
    }

    fn write_daemons(&mut self, platform: SocketAddr) -> anyhow::Result<Vec<DaemonAddresses>> {
        let zones = self.table["availability_zones"].as_array().cloned();
        let zones = zones.context("the example has no availability zones")?;
        let count = self.options.daemons.unwrap_or(self.sizes.daemons);
        let place = |port, number| offset(self.address(port), number);
        let daemons: Vec<DaemonAddresses> = (0..count)
            .map(|number| DaemonAddresses {
                name: format!("entry-{}", number + 1),
                callers: place(CALLERS_PORT, number),
                peers: place(PEERS_PORT, number),
                operators: place(OPERATORS_PORT, number),
            })
            .collect();
        let seeds = daemons.iter().take(3);
        let seeds: Vec<String> = seeds
            .map(|daemon| format!("\"{}\"", daemon.peers))
            .collect();
        for (number, daemon) in daemons.iter().enumerate() {
            let name = &daemon.name;
            let settings = format!(
                "id = \"{name}\"\navailability_zone = {}\n\
                 listen = {{ callers = \"{}\", peers = \"{}\", operators = \"{}\" }}\n\
                 platform = {{ addresses = [\"{platform}\"], reads_per_s = 200, writes_per_s = 50 }}\n\
                 peers = {{ seeds = [{}] }}\n\
                 operators = {{ key_hashes = [\"{OPERATOR_KEY_HASH}\"] }}\n\
                 run = {{ policy = \"{}\" }}\nlog = {{ level = \"warn\" }}\n",
                zones[number % zones.len()],
                daemon.callers,
                daemon.peers,
                daemon.operators,
                seeds.join(", "),
                self.options.policy,
            );
            self.write(&format!("{name}.toml"), &settings)?;
            let path = self.options.directory.join(format!("{name}.toml"));
            let _ = writeln!(
                self.commands,
                "{name}\twisteriahitchd\t--settings\t{}",
                path.display()
            );
        }
        Ok(daemons)
    }
}

/// Takes away rows, or repeats them under names of their own.
fn resize(rows: &mut Vec<Value>, wanted: usize) {
    let known = rows.len().max(1);
    rows.truncate(wanted);
    for number in rows.len()..wanted {
        let mut row = rows[number % known].clone();
        if let Some(table) = row.as_table_mut() {
            table.insert("id".to_owned(), format!("assistant-{}", number + 1).into());
        }
        rows.push(row);
    }
}

fn offset(first: SocketAddr, number: usize) -> SocketAddr {
    let number = u16::try_from(number).unwrap_or(u16::MAX);
    SocketAddr::new(first.ip(), first.port().saturating_add(number))
}

fn integer(value: u64) -> Value {
    Value::Integer(i64::try_from(value).unwrap_or(i64::MAX))
}

fn text(table: &Table, key: &str) -> anyhow::Result<String> {
    let value = table.get(key).and_then(Value::as_str);
    let value = value.with_context(|| format!("a row of the example has no {key}"))?;
    Ok(value.to_owned())
}

/// Returns the path of a file of the layout.
pub(crate) fn configuration_path(directory: &Path) -> PathBuf {
    directory.join("site.toml")
}
