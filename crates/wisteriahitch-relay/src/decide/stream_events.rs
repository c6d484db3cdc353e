//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event that is assembled; engines of the known deployments send some hundred
/// bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Complete events of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FramedEvents {
    /// Bytes of the complete events, unchanged.
    pub events: Bytes,
    /// Id of the last event that had one.
    pub last_id: Option<u64>,
}

/// Reason why a stream cannot be continued.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FramingError {
    /// An event exceeds the maximum size.
    #[error("event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The id of an event is not greater than the previous one.
    #[error("event ids do not increase")]
    OutOfOrder,
}

/// Assembles events from chunks that may end anywhere.
///
/// An endpoint may fail in the middle of an event. If the fragment were passed on, the caller would
/// read it and the start of the stream that continues from another endpoint as one event.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventFramer {
    /// Creates a framer for a stream that continues after event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
            event_count: 0,
        }
    }

    /// Adds bytes and returns the events that are complete by now, if any.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<FramedEvents>, FramingError> {
        let whole = if self.partial.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            match end_of_last_event(&self.partial) {
                Some(end) => self.partial.split_to(end).freeze(),
                None if self.partial.len() > MAX_EVENT_BYTES => return Err(FramingError::TooLarge),
                None => return Ok(None),
            }
        };
        for id in event_ids(&whole) {
            if self.last_id.is_some_and(|last| id <= last) {
                return Err(FramingError::OutOfOrder);
            }
            self.last_id = Some(id);
            self.event_count += 1;
        }
        Ok(Some(FramedEvents {
            events: whole,
            last_id: self.last_id,
        }))
    }

    /// Returns the number of events with an id.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether no partial event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n")
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(start + 2)
}

/// Returns the numeric ids of events; other ids are skipped.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
