//! Parser of server-sent events, the format in which engines stream tokens.

use bytes::{Buf, BytesMut};

/// Maximum length of a line in bytes. A token's JSON is far shorter.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Maximum size in bytes of the data of one event, summed over its lines.
const MAX_EVENT_BYTES: usize = 256 * 1024;

const DATA_FIELD: &[u8] = b"data";

/// Error of parsing a stream of server-sent events.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SseError {
    /// A line is longer than 64 KiB.
    #[error("a line of the event stream is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The data of one event has more than 256 KiB.
    #[error("an event has more than {MAX_EVENT_BYTES} bytes of data")]
    EventTooLarge,
    /// The value of a `data` field is not UTF-8.
    #[error("a line of the event stream is not UTF-8")]
    NotUtf8,
}

/// Splits an event stream, which may arrive in chunks of any size, into the data of its events.
///
/// All fields but `data` are ignored, because engines use no other. Memory use is bounded:
/// otherwise a faulty engine that never ends a line would make the daemon buffer until the VM runs
/// out of memory.
///
/// # Examples
///
/// ```
/// use wisteriahitch_wire::engine::SseParser;
///
/// let mut parser = SseParser::default();
/// parser.push(b"data: one\n\ndata: tw")?;
/// assert_eq!(parser.next_event()?, Some("one".to_owned()));
/// assert_eq!(parser.next_event()?, None);
/// parser.push(b"o\n\n")?;
/// assert_eq!(parser.next_event()?, Some("two".to_owned()));
/// # Ok::<(), wisteriahitch_wire::engine::SseError>(())
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that are known to contain no line end.
    searched: usize,
    data: Option<String>,
    /// Whether the last line ended with a carriage return. A line feed that follows is part of the
    /// same line end.
    is_after_carriage_return: bool,
}

impl SseParser {
    /// Appends the next chunk of the stream.
    ///
    /// The chunk stays buffered until [`SseParser::next_event`] has returned its events, so callers
    /// must read all events before they push again.
    ///
    /// # Errors
    ///
    /// [`SseError::LineTooLong`] if the unfinished line is already longer than 64 KiB.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), SseError> {
        let has_long_line = self.searched > MAX_LINE_BYTES;
        if has_long_line {
            return Err(SseError::LineTooLong);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the data of the next complete event, or `None` if more chunks must be pushed first.
    ///
    /// # Errors
    ///
    /// After an error the rest of the stream cannot be parsed.
    pub fn next_event(&mut self) -> Result<Option<String>, SseError> {
        while let Some(line) = self.next_line()? {
            if !line.is_empty() {
                self.process_field(&line)?;
                continue;
            }
            if let Some(data) = self.data.take() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Returns the number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.data.as_ref().map_or(0, String::len)
    }

    fn next_line(&mut self) -> Result<Option<BytesMut>, SseError> {
        self.skip_line_feed();
        let rest = &self.buffer[self.searched..];
        let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
        let Some(end) = end.map(|found| found + self.searched) else {
            self.searched = self.buffer.len();
            check_line_length(self.searched)?;
            return Ok(None);
        };
        check_line_length(end)?;
        let line = self.buffer.split_to(end);
        self.is_after_carriage_return = self.buffer[0] == b'\r';
        self.buffer.advance(1);
        self.searched = 0;
        Ok(Some(line))
    }

    fn skip_line_feed(&mut self) {
        if !self.is_after_carriage_return || self.buffer.is_empty() {
            return;
        }
        self.is_after_carriage_return = false;
        if self.buffer[0] == b'\n' {
            self.buffer.advance(1);
        }
    }

    fn process_field(&mut self, line: &[u8]) -> Result<(), SseError> {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        if name != DATA_FIELD {
            return Ok(());
        }
        let value = value.strip_prefix(b":").unwrap_or(value);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        let value = str::from_utf8(value).map_err(|_| SseError::NotUtf8)?;
        self.add_data(value)
    }

    fn add_data(&mut self, value: &str) -> Result<(), SseError> {
        let Some(data) = &mut self.data else {
            self.data = Some(value.to_owned());
            return Ok(());
        };
        if data.len() + value.len() >= MAX_EVENT_BYTES {
            return Err(SseError::EventTooLarge);
        }
        data.push('\n');
        data.push_str(value);
        Ok(())
    }
}

fn check_line_length(length: usize) -> Result<(), SseError> {
    if length > MAX_LINE_BYTES {
        return Err(SseError::LineTooLong);
    }
    Ok(())
}
