//! The event log stays within its budget and never blocks.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use prometheus::IntCounter;
use wisteriahitch_relay::{CallEnded, Event, EventLog, LogBudget};

/// Sends everything that is written to the test.
struct Output(Sender<Vec<u8>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The receiver is dropped once the test has seen enough.
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Blocks on every write, like a pipe whose reader has stopped.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Returns only when the test ends.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn counter() -> IntCounter {
    IntCounter::new("dropped", "Dropped lines.").unwrap()
}

fn call_ended(outcome: &'static str) -> Event {
    Event::CallEnded(Box::new(CallEnded {
        request: "r-1".to_owned(),
        outcome,
        ..CallEnded::default()
    }))
}

fn written_lines(budget: LogBudget, events: &[Event]) -> Vec<serde_json::Value> {
    let (sender, written) = channel();
    let log = EventLog::start(budget, counter(), Output(sender));
    events.iter().for_each(|event| log.write(event));
    log.flush();
    drop(log);
    let bytes: Vec<u8> = written.iter().flatten().collect();
    let text = String::from_utf8(bytes).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[test]
fn each_event_is_a_line_of_json_with_its_fields() {
    let budget = LogBudget {
        bytes_per_s: 10_000,
        successes_per_s: 10,
    };
    let lines = written_lines(budget, &[call_ended("refused")]);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["event"], "call_ended");
    assert_eq!(lines[0]["request"], "r-1");
    assert_eq!(lines[0]["outcome"], "refused");
}

/// Under load, the log cost more than the calls because each successful call had a line. Failures
/// keep their lines.
#[test]
fn successes_are_sampled_and_failures_are_not() {
    let budget = LogBudget {
        bytes_per_s: 100_000,
        successes_per_s: 2,
    };
    let mut events = vec![call_ended("answered"); 20];
    events.extend(vec![call_ended("refused"); 5]);
    let lines = written_lines(budget, &events);
    let count = |outcome: &str| {
        lines
            .iter()
            .filter(|line| line["outcome"] == outcome)
            .count()
    };
    assert_eq!((count("answered"), count("refused")), (2, 5));
}

#[test]
fn above_the_byte_budget_lines_are_counted() {
    let budget = LogBudget {
        bytes_per_s: 1_000,
        successes_per_s: 2,
    };
    let lines = written_lines(budget, &vec![call_ended("refused"); 100]);
    assert!(lines.len() < 10, "{} lines", lines.len());
}

/// All callers waited after the reader of standard output had stopped and the pipe was full,
/// because the log was written on the request threads.
#[test]
fn a_reader_that_stops_reading_blocks_no_writer() {
    let (_stop_sender, stop_receiver) = channel();
    let dropped = counter();
    let budget = LogBudget {
        bytes_per_s: u32::MAX,
        successes_per_s: 1,
    };
    let log = EventLog::start(budget, dropped.clone(), BlockedOutput(stop_receiver));
    let started_at = Instant::now();
    for _ in 0..200 {
        log.write(&call_ended("refused"));
        log.flush();
    }
    assert!(started_at.elapsed() < Duration::from_secs(5));
    assert!(dropped.get() > 100, "{} dropped", dropped.get());
}
