//! Event log: JSON lines on standard output, limited in rate, that never block a request.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::Serialize;
use wisteriahitch_types::TimeUs;

use super::Event;
use crate::clock::BootClock;

/// Maximum number of batches that wait to be written. With a batch every fifth of a second, this
/// covers a reader that stops for some seconds.
const MAX_QUEUED_BATCHES: usize = 32;

/// Time that the writer gets to write the last lines before the process exits.
const FINAL_FLUSH_WAIT: Duration = Duration::from_millis(50);

/// Divisor of the byte budget that gives the separate budget of reserved events: a quarter. Their lines
/// are rare, and even all of them together must not double the log.
const RESERVED_BUDGET_DIVISOR: u32 = 4;

/// Limits of the log per second.
#[derive(Clone, Copy, Debug)]
pub struct LogBudget {
    /// Maximum size of all lines.
    pub bytes_per_s: u32,
    /// Maximum number of lines of calls that were answered.
    pub successes_per_s: u32,
}

#[derive(Debug, Default)]
struct BudgetWindow {
    started_at_us: TimeUs,
    bytes: u32,
    /// Bytes of reserved events, which count separately.
    reserved_bytes: u32,
    successes: u32,
    omitted: BTreeMap<&'static str, u64>,
    lines: Vec<u8>,
}

/// Writes events to the log.
///
/// Lines are collected and handed to a writer thread a few times a second. If the reader of
/// standard output stops reading, only that thread blocks. If request threads wrote the log, every
/// caller would wait for its reader.
#[derive(Debug)]
pub struct EventLog {
    clock: BootClock,
    budget: LogBudget,
    window: Mutex<BudgetWindow>,
    writer: SyncSender<Vec<u8>>,
    dropped_lines: prometheus::IntCounter,
}

#[derive(Serialize)]
struct Line<'a> {
    ts_ms: u64,
    up_ms: u64,
    #[serde(flatten)]
    event: &'a Event,
}

impl EventLog {
    /// Starts the writer thread. `output` is standard output, except in tests.
    pub fn start(
        budget: LogBudget,
        dropped_lines: prometheus::IntCounter,
        mut output: impl Write + Send + 'static,
    ) -> Self {
        let (writer, batches) = sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
        std::thread::spawn(move || {
            for batch in batches {
                // There is no other place to report that the log can't be written.
                let _ = output.write_all(&batch).and_then(|()| output.flush());
            }
        });
        Self {
            clock: BootClock,
            budget,
            window: Mutex::new(BudgetWindow::default()),
            writer,
            dropped_lines,
        }
    }

    /// Adds an event to the next batch, or only counts it if the budget is used up.
    pub fn write(&self, event: &Event) {
        let now = self.clock.now();
        let mut window = self.window.lock();
        window.start_if_expired(now);
        if event.is_sampled() && window.successes >= self.budget.successes_per_s {
            *window.omitted.entry(event.name()).or_default() += 1;
            return;
        }
        let is_over_budget = match event.is_reserved() {
            true => {
                let reserved = self.budget.bytes_per_s / RESERVED_BUDGET_DIVISOR;
                window.reserved_bytes >= reserved
            }
            false => window.bytes >= self.budget.bytes_per_s,
        };
        if is_over_budget {
            *window.omitted.entry(event.name()).or_default() += 1;
            self.dropped_lines.inc();
            return;
        }
        window.successes += u32::from(event.is_sampled());
        window.append(event, now);
    }

    /// Hands the collected lines to the writer thread.
    pub fn flush(&self) {
        let mut window = self.window.lock();
        window.start_if_expired(self.clock.now());
        if window.lines.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut window.lines);
        if let Err(TrySendError::Full(batch)) = self.writer.try_send(batch) {
            let lines = batch.iter().filter(|byte| **byte == b'\n').count();
            self.dropped_lines.inc_by(lines as u64);
        }
    }

    /// Hands over the last lines and gives the writer thread a moment to write them.
    pub fn finish(&self) {
        self.flush();
        std::thread::sleep(FINAL_FLUSH_WAIT);
    }
}

impl BudgetWindow {
    /// Starts a new window if a second has passed, and logs the number of lines omitted in the last
    /// one.
    fn start_if_expired(&mut self, now: TimeUs) {
        if now.since(self.started_at_us).as_ms() < 1_000 {
            return;
        }
        self.started_at_us = now;
        self.bytes = 0;
        self.reserved_bytes = 0;
        self.successes = 0;
        let omitted = std::mem::take(&mut self.omitted);
        if omitted.is_empty() {
            return;
        }
        let counts = omitted
            .into_iter()
            .map(|(name, count)| (name.to_owned(), count));
        let event = Event::LinesOmitted {
            counts: counts.collect(),
        };
        self.append(&event, now);
    }

    fn append(&mut self, event: &Event, now: TimeUs) {
        let wall_clock = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = Line {
            ts_ms: u64::try_from(wall_clock.as_millis()).unwrap_or(u64::MAX),
            up_ms: now.get() / 1_000,
            event,
        };
        let length_before = self.lines.len();
        if serde_json::to_writer(&mut self.lines, &line).is_err() {
            self.lines.truncate(length_before);
            return;
        }
        self.lines.push(b'\n');
        let written = self.lines.len() - length_before;
        let written = u32::try_from(written).unwrap_or(u32::MAX);
        let bytes = match event.is_reserved() {
            true => &mut self.reserved_bytes,
            false => &mut self.bytes,
        };
        *bytes = bytes.saturating_add(written);
    }
}
