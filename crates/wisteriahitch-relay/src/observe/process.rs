//! Resource usage of the process, read from `/proc`.

/// Memory and descriptors of this process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessUsage {
    /// Resident memory, in bytes.
    pub resident_bytes: i64,
    /// Number of open descriptors.
    pub descriptors: i64,
}

impl ProcessUsage {
    /// Reads the current usage. A value that can't be read is zero, which no running process has.
    pub fn read() -> Self {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        Self {
            resident_bytes: resident_bytes(&status),
            descriptors: i64::try_from(descriptors).unwrap_or(i64::MAX),
        }
    }
}

fn resident_bytes(status: &str) -> i64 {
    const BYTES_PER_KIB: i64 = 1_024;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: Option<i64> = kib.and_then(|kib| kib.parse().ok());
    kib.unwrap_or(0) * BYTES_PER_KIB
}
