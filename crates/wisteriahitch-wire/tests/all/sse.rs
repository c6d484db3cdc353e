use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wisteriahitch_wire::engine::{SseError, SseParser};

const SEED: [u8; 32] = *b"wisteriahitch server-sent events";
const CASES: u32 = 512;
const LINE_LIMIT: usize = 64 * 1024;
const EVENT_LIMIT: usize = 256 * 1024;

type Outcome = (Vec<String>, Option<SseError>);

/// Parses a stream that arrives in `chunks`; returns the events and the error that ended it, if
/// any. Also checks the limit on the buffered bytes after each chunk.
fn parse<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Outcome {
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    for chunk in chunks {
        if let Err(error) = parser.push(chunk) {
            return (events, Some(error));
        }
        assert!(parser.buffered_bytes() <= LINE_LIMIT + EVENT_LIMIT + chunk.len());
        loop {
            match parser.next_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(error) => return (events, Some(error)),
            }
        }
    }
    (events, None)
}

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

struct EventCase {
    name: &'static str,
    stream: Vec<u8>,
    events: Vec<&'static str>,
    error: Option<SseError>,
}

fn event_cases() -> Vec<EventCase> {
    let case = |name, stream, events, error| EventCase {
        name,
        stream,
        events,
        error,
    };
    vec![
        case(
            "line feeds",
            b"data: a\n\ndata: b\n\n".into(),
            vec!["a", "b"],
            None,
        ),
        case(
            "all kinds of line ends",
            b"data: a\r\n\r\ndata: b\r\rdata:c\n\n".into(),
            vec!["a", "b", "c"],
            None,
        ),
        case(
            "comments, other fields and empty events",
            b": hi\nid: 4\nevent: x\ndata: a\nretry: 3\n\n\n\n: hi\n\n".into(),
            vec!["a"],
            None,
        ),
        case(
            "more than one line of data",
            b"data: a\ndata\ndata:  b\n\n".into(),
            vec!["a\n\n b"],
            None,
        ),
        case(
            "more than one line of data, carriage returns",
            b"data: a\r\ndata: b\r\n\r\n".into(),
            vec!["a\nb"],
            None,
        ),
        case(
            "an event without its blank line is incomplete",
            b"data: a\n\ndata: b\n".into(),
            vec!["a"],
            None,
        ),
        case(
            "not UTF-8",
            b"data: a\n\ndata: \xff\n\n".into(),
            vec!["a"],
            Some(SseError::NotUtf8),
        ),
        case(
            "longest line",
            [b":".repeat(LINE_LIMIT), b"\ndata: a\n\n".to_vec()].concat(),
            vec!["a"],
            None,
        ),
        case(
            "line too long",
            [b":".repeat(LINE_LIMIT + 1), b"\ndata: a\n\n".to_vec()].concat(),
            vec![],
            Some(SseError::LineTooLong),
        ),
        case(
            "line without an end",
            b"x".repeat(LINE_LIMIT + 1),
            vec![],
            Some(SseError::LineTooLong),
        ),
        case(
            "event too large",
            [b"data: ", "x".repeat(60_000).as_bytes(), b"\n"]
                .concat()
                .repeat(5),
            vec![],
            Some(SseError::EventTooLarge),
        ),
    ]
}

#[test]
fn events_end_at_blank_lines() {
    for case in event_cases() {
        let expected = (
            case.events.iter().map(|e| e.to_string()).collect(),
            case.error,
        );
        assert_eq!(parse([case.stream.as_slice()]), expected, "{}", case.name);
        assert_eq!(
            parse(case.stream.chunks(1)),
            expected,
            "{}, by byte",
            case.name
        );
    }
}

#[test]
fn the_outcome_does_not_depend_on_the_chunks() {
    // Bytes with a meaning in the format are frequent, so that the cases get past the first line.
    let byte = prop_oneof![
        3 => Just(b'\n'), 1 => Just(b'\r'), 1 => Just(b':'), 1 => Just(b' '), 3 => any::<u8>(),
    ];
    let run = prop_oneof![
        4 => vec(byte, 0..40),
        3 => Just(b"data: ".to_vec()),
        2 => (any::<u8>(), 0..LINE_LIMIT + 20).prop_map(|(byte, count)| vec![byte; count]),
    ];
    let streams = (vec(run, 0..20), 1..5_000usize);
    let outcome = runner().run(&streams, |(runs, chunk_len)| {
        let stream = runs.concat();
        let whole = parse([stream.as_slice()]);
        prop_assert_eq!(&parse(stream.chunks(chunk_len)), &whole);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn events_survive_a_round_trip_in_any_chunks() {
    let text = "[^\r\n]{0,30}";
    let streams = (vec(text, 0..12), 1..40usize);
    let outcome = runner().run(&streams, |(events, chunk_len)| {
        let written = events.iter().map(|event| format!("data: {event}\n\n"));
        let stream = written.collect::<String>().into_bytes();
        prop_assert_eq!(parse(stream.chunks(chunk_len)), (events, None));
        Ok(())
    });
    outcome.unwrap();
}
