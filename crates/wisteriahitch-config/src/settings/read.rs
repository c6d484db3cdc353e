//! Parsing and checking of the settings file.

use std::ops::RangeInclusive;

use wisteriahitch_types::{ByteCount, Code, DurationUs};

use super::addresses::{check_listen_addresses, check_own_addresses, checked_addresses};
use super::{
    ListenSettings, LogSettings, OperatorSettings, PeerSettings, PlatformSettings, RequestLimits,
    RunSettings, Settings,
};
use crate::Report;
use crate::read::{DurationKeys, Location, ProblemLog, Source, TableReader, duration_keys};

const DEFAULT_READS_PER_S: u32 = 20;
const DEFAULT_WRITES_PER_S: u32 = 5;
const MAX_PLATFORM_CALLS_PER_S: u32 = 2_000;
const DEFAULT_PLATFORM_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
const PROBE_INTERVAL_RANGE_MS: RangeInclusive<u64> = 50..=60_000;
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=600_000;
const KEEP_ALIVE_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;
const HEADER_BYTES_RANGE: RangeInclusive<u64> = 1 << 10..=1 << 20;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 1 << 10..=1 << 30;
/// An answer is stored base64-encoded, a third longer, in an object of at most one megabyte.
const ANSWER_BYTES_RANGE: RangeInclusive<u64> = 1 << 10..=700 << 10;
const MAX_CONCURRENT_REQUESTS: u32 = 1_000_000;
const MAX_CORES: u32 = 1_024;

impl Settings {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Reports all problems of the text at once, each with its code, line and column.
    pub fn check(text: &str) -> Result<Self, Report> {
        let log = ProblemLog::new(vec![Source::submitted(text)]);
        let table = log.parse(0);
        let settings = table.and_then(|table| {
            let top = TableReader::new(&log, &table, Location::default());
            let settings = read(&top);
            top.finish();
            settings
        });
        log.finish(settings)
    }
}

fn read(top: &TableReader<'_, '_>) -> Option<Settings> {
    let id = top.required("id");
    let availability_zone = top.required("availability_zone");
    let listen = required_table(top, "listen", read_listen);
    let platform = required_table(top, "platform", read_platform);
    let operators = required_table(top, "operators", read_operators);
    let peers = optional_table(top, "peers", read_peers);
    let limits = optional_table(top, "limits", read_limits);
    let log = optional_table(top, "log", read_log);
    let run = optional_table(top, "run", read_run);
    let settings = Settings {
        id: id?,
        availability_zone: availability_zone?,
        listen: listen??,
        platform: platform?,
        peers: peers.unwrap_or_default(),
        limits: limits.unwrap_or_default(),
        operators: operators?,
        log: log.unwrap_or_default(),
        run: run.unwrap_or_default(),
    };
    check_own_addresses(top, &settings);
    Some(settings)
}

fn required_table<T>(
    top: &TableReader<'_, '_>,
    key: &'static str,
    read: fn(&TableReader<'_, '_>) -> T,
) -> Option<T> {
    top.require_key(key);
    optional_table(top, key, read)
}

fn optional_table<T>(
    top: &TableReader<'_, '_>,
    key: &'static str,
    read: fn(&TableReader<'_, '_>) -> T,
) -> Option<T> {
    let table = top.table(key)?;
    let settings = read(&table);
    table.finish();
    Some(settings)
}

fn read_listen(table: &TableReader<'_, '_>) -> Option<ListenSettings> {
    let callers = table.required_located("callers");
    let peers = table.required_located("peers");
    let operators = table.required_located("operators");
    check_listen_addresses(table, [&callers, &peers, &operators]);
    Some(ListenSettings {
        callers: callers?.value,
        peers: peers?.value,
        operators: operators?.value,
    })
}

fn read_platform(table: &TableReader<'_, '_>) -> PlatformSettings {
    let addresses = checked_addresses(table, table.required_list("addresses"));
    let reads = table.number_u32("reads_per_s", 1..=MAX_PLATFORM_CALLS_PER_S);
    let writes = table.number_u32("writes_per_s", 1..=MAX_PLATFORM_CALLS_PER_S);
    let timeout = table.duration(duration_keys!("timeout"), TIMEOUT_RANGE_MS);
    PlatformSettings {
        addresses,
        reads_per_s: reads.unwrap_or(DEFAULT_READS_PER_S),
        writes_per_s: writes.unwrap_or(DEFAULT_WRITES_PER_S),
        timeout_us: timeout.unwrap_or(DEFAULT_PLATFORM_TIMEOUT),
    }
}

fn read_peers(table: &TableReader<'_, '_>) -> PeerSettings {
    let seeds = checked_addresses(table, table.list("seeds"));
    let interval = table.duration(duration_keys!("probe_interval"), PROBE_INTERVAL_RANGE_MS);
    let default = PeerSettings::default();
    PeerSettings {
        seeds,
        probe_interval_us: interval.unwrap_or(default.probe_interval_us),
    }
}

fn read_limits(table: &TableReader<'_, '_>) -> RequestLimits {
    let default = RequestLimits::default();
    let bytes = |key, range, default| {
        let number = table.number(key, range);
        number.map_or(default, ByteCount::new)
    };
    let duration_or =
        |keys: DurationKeys, range, default| table.duration(keys, range).unwrap_or(default);
    let count = |key, default| {
        table
            .number_u32(key, 1..=MAX_CONCURRENT_REQUESTS)
            .unwrap_or(default)
    };
    let limits = RequestLimits {
        header_bytes: bytes("header_bytes", HEADER_BYTES_RANGE, default.header_bytes),
        body_bytes: bytes("body_bytes", BODY_BYTES_RANGE, default.body_bytes),
        answer_bytes: bytes("answer_bytes", ANSWER_BYTES_RANGE, default.answer_bytes),
        streams: count("streams", default.streams),
        header_timeout_us: duration_or(
            duration_keys!("header_timeout"),
            TIMEOUT_RANGE_MS,
            default.header_timeout_us,
        ),
        body_timeout_us: duration_or(
            duration_keys!("body_timeout"),
            TIMEOUT_RANGE_MS,
            default.body_timeout_us,
        ),
        reader_stall_timeout_us: duration_or(
            duration_keys!("reader_stall_timeout"),
            TIMEOUT_RANGE_MS,
            default.reader_stall_timeout_us,
        ),
        idle_keep_alive_us: duration_or(
            duration_keys!("idle_keep_alive"),
            KEEP_ALIVE_RANGE_MS,
            default.idle_keep_alive_us,
        ),
        queued_requests: count("queued_requests", default.queued_requests),
    };
    check_limits(table, &limits);
    limits
}

fn check_limits(table: &TableReader<'_, '_>, limits: &RequestLimits) {
    if limits.header_timeout_us > limits.body_timeout_us {
        let message = "a request's head may take longer than the whole request";
        let location = table.location();
        table
            .log()
            .add(Code::ConfigContradiction, location, message);
    }
}

fn read_operators(table: &TableReader<'_, '_>) -> OperatorSettings {
    let hashes = table.required_list("key_hashes");
    OperatorSettings {
        key_hashes: hashes.into_iter().map(|hash| hash.value).collect(),
    }
}

fn read_log(table: &TableReader<'_, '_>) -> LogSettings {
    let level = table.optional("level");
    let file: Option<String> = table.optional("file");
    if file.as_deref().is_some_and(|file| file.trim().is_empty()) {
        table.add_problem(Code::ConfigBadValue, "file", "the path is empty");
    }
    LogSettings {
        level: level.unwrap_or_default(),
        file,
    }
}

fn read_run(table: &TableReader<'_, '_>) -> RunSettings {
    let cores = table.number_u32("cores", 1..=MAX_CORES);
    let policy = table.optional("policy");
    let default = RunSettings::default();
    RunSettings {
        cores: cores.unwrap_or(default.cores),
        policy: policy.unwrap_or(default.policy),
    }
}
