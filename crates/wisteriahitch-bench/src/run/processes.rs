//! Processor time and memory of the processes that the script has started.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::site::read_pids;

/// The kernel counts processor time in hundredths of a second.
const TICKS_PER_S: f64 = 100.0;

const PAGE_BYTES: u64 = 4_096;

/// Fields of `/proc/PID/stat` after the name, from 0.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;

/// Holds what one process has used.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ProcessUse {
    /// Processor time since its start.
    pub processor_s: f64,
    /// Resident memory now.
    pub memory_bytes: u64,
}

pub(super) fn process_use(directory: &Path) -> BTreeMap<String, ProcessUse> {
    let pids = read_pids(directory).into_iter();
    pids.filter_map(|(name, pid)| Some((name, read_stat(&format!("/proc/{pid}/stat"))?)))
        .collect()
}

/// Returns what this process itself has used.
pub(super) fn own_use() -> ProcessUse {
    read_stat("/proc/self/stat").unwrap_or_default()
}

fn read_stat(path: &str) -> Option<ProcessUse> {
    let text = std::fs::read_to_string(path).ok()?;
    // The name stands in brackets and may hold spaces.
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let number = |field: usize| fields.get(field)?.parse::<u64>().ok();
    Some(ProcessUse {
        processor_s: (number(USER_TICKS)? + number(SYSTEM_TICKS)?) as f64 / TICKS_PER_S,
        memory_bytes: number(RESIDENT_PAGES)? * PAGE_BYTES,
    })
}

/// Reads the bytes that a script has counted on the daemons' control connections.
pub(super) fn control_bytes(directory: &Path) -> BTreeMap<String, u64> {
    let text = std::fs::read_to_string(directory.join("control-bytes")).unwrap_or_default();
    let rows = text.lines().filter_map(|line| {
        let (name, bytes) = line.split_once(' ')?;
        Some((name.to_owned(), bytes.parse().ok()?))
    });
    rows.collect()
}

/// Returns the machine's load averages, since every figure depends on who else uses it.
pub(super) fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
