//! HTTP client of the platform's object API.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Response, StatusCode};
use serde_json::Value;
use wisteriahitch_types::{ByteCount, DurationUs};

use super::answer::{classify_refusal, malformed, parse_body, parse_object};
use super::call::{Call, CallKind};
use super::call_counts::{CallCounter, CallCounts};
use super::document::{EventDocument, EventType, ListDocument, ObjectDocument};
use super::{
    CallRate, Object, ObjectKind, ObjectList, ObjectVersion, Platform, PlatformError,
    PlatformErrorKind, TokenBucket,
};
use crate::http_client::{HttpClient, HttpClientOptions};

/// Addresses, timeouts and rate limits of the platform client.
#[derive(Clone, Debug)]
pub struct HttpPlatformOptions {
    /// Addresses of the object API, in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Maximum wait for an answer from one address.
    pub call_timeout_us: DurationUs,
    /// Extra time to wait for the answer to a watch after the watch's own wait has ended.
    pub watch_slack_us: DurationUs,
    /// Maximum size of an answer. A listing of all VMs must fit.
    pub answer_limit_bytes: ByteCount,
    /// Maximum rate of reads and watches that this process sends.
    pub reads_per_s: CallRate,
    /// Maximum rate of writes that this process sends.
    pub writes_per_s: CallRate,
    /// Size of a burst, as the time in which the rates above allow that many calls.
    pub burst_us: DurationUs,
    /// Limits on the connections.
    pub connections: HttpClientOptions,
}

impl Default for HttpPlatformOptions {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            call_timeout_us: DurationUs::from_ms(2_000),
            watch_slack_us: DurationUs::from_ms(2_000),
            answer_limit_bytes: ByteCount::new(64_000_000),
            reads_per_s: CallRate::new(100.0),
            writes_per_s: CallRate::new(30.0),
            burst_us: DurationUs::from_ms(1_000),
            connections: HttpClientOptions::default(),
        }
    }
}

/// HTTP client of the platform's object API.
///
/// Addresses are tried in order, starting with the one that last worked. A read is sent to the next
/// address after any outage; a write only if it is certain that nothing was written
/// (`docs/design/outside-protocols.md`).
#[derive(Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    options: HttpPlatformOptions,
    /// Index of the address to try first.
    preferred_index: AtomicUsize,
    reads: TokenBucket,
    writes: TokenBucket,
    counter: CallCounter,
}

impl HttpPlatform {
    /// Builds a client; connections are opened as they are needed.
    pub fn new(options: HttpPlatformOptions) -> Self {
        Self {
            client: HttpClient::new(options.connections),
            preferred_index: AtomicUsize::new(0),
            reads: TokenBucket::new(options.reads_per_s, options.burst_us),
            writes: TokenBucket::new(options.writes_per_s, options.burst_us),
            counter: CallCounter::default(),
            options,
        }
    }

    /// Sends a call to one address after another until one gives a conclusive answer.
    async fn send(
        &self,
        call: &Call,
        timeout_us: DurationUs,
    ) -> Result<Response<Bytes>, PlatformError> {
        let addresses = &self.options.addresses;
        let first = self.preferred_index.load(Ordering::Relaxed);
        let mut last = PlatformError::new(
            PlatformErrorKind::Unavailable,
            "no platform address is configured",
        );
        for offset in 0..addresses.len() {
            let index = (first + offset) % addresses.len();
            match self.send_to(addresses[index], call, timeout_us).await {
                Err(error) if is_outage(&error) => {
                    let next = (index + 1) % addresses.len();
                    self.preferred_index.store(next, Ordering::Relaxed);
                    let may_try_next = call.kind != CallKind::Write || !error.is_outcome_unknown();
                    last = error;
                    if !may_try_next {
                        break;
                    }
                }
                conclusive => return conclusive,
            }
        }
        Err(last)
    }

    async fn send_to(
        &self,
        address: SocketAddr,
        call: &Call,
        timeout_us: DurationUs,
    ) -> Result<Response<Bytes>, PlatformError> {
        let request = call.to_request()?;
        self.acquire_budget(call.kind)?;
        self.counter.count_sent(call.kind);
        let limit_bytes = self.options.answer_limit_bytes;
        let response = self
            .client
            .fetch(address, request, timeout_us, limit_bytes)
            .await
            .map_err(PlatformError::from)?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(classify_refusal(&response))
        }
    }

    /// Applies this process's share of the platform's rate limits, which all daemons share.
    fn acquire_budget(&self, kind: CallKind) -> Result<(), PlatformError> {
        let bucket = match kind {
            CallKind::Write => &self.writes,
            CallKind::Read | CallKind::Watch => &self.reads,
        };
        bucket.try_acquire().map_err(|wait_us| {
            self.counter.count_over_budget();
            let detail = "this process has used up its share of the platform's rate limit";
            PlatformError::new(PlatformErrorKind::RateLimited, detail).with_retry_after_us(wait_us)
        })
    }

    async fn write(
        &self,
        call: Call,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Object, PlatformError> {
        let response = self.send(&call, self.options.call_timeout_us).await?;
        let document: ObjectDocument = parse_body(response.body())?;
        parse_object(document, kind, name)
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    fn counts(&self) -> CallCounts {
        self.counter.counts()
    }

    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, PlatformError> {
        let call = Call::get(kind, name);
        match self.send(&call, self.options.call_timeout_us).await {
            Ok(response) => {
                let document: ObjectDocument = parse_body(response.body())?;
                parse_object(document, kind, name).map(Some)
            }
            Err(error) if error.kind() == PlatformErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn list(&self, kind: ObjectKind) -> Result<ObjectList, PlatformError> {
        let call = Call::list(kind);
        let response = self.send(&call, self.options.call_timeout_us).await?;
        let listing: ListDocument = parse_body(response.body())?;
        let version = listing.metadata.try_version().map_err(malformed)?;
        let objects = listing.items.into_iter();
        let items: Result<Vec<Object>, String> =
            objects.map(|item| item.try_into_object(kind)).collect();
        let mut items = items.map_err(malformed)?;
        items.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(ObjectList { version, items })
    }

    async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: Value,
    ) -> Result<Object, PlatformError> {
        let call = Call::create(kind, name, spec)?;
        self.write(call, kind, name).await
    }

    async fn update(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: Value,
        expected: ObjectVersion,
    ) -> Result<Object, PlatformError> {
        let call = Call::update(kind, name, spec, expected)?;
        let object = self.write(call, kind, name).await?;
        if object.version > expected {
            Ok(object)
        } else {
            Err(malformed(
                "the object's version did not increase with the write",
            ))
        }
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
    ) -> Result<(), PlatformError> {
        let call = Call::delete(kind, name, expected);
        self.send(&call, self.options.call_timeout_us).await?;
        Ok(())
    }

    /// The wait is rounded down to whole seconds, with a minimum of one second. If the object is
    /// deleted, the result is [`PlatformErrorKind::NotFound`].
    async fn watch(
        &self,
        kind: ObjectKind,
        name: &str,
        after: ObjectVersion,
        wait_us: DurationUs,
    ) -> Result<Option<Object>, PlatformError> {
        let wait_us = wait_us.max(DurationUs::from_ms(1_000));
        let call = Call::watch(kind, name, after, wait_us);
        let timeout_us = wait_us.saturating_add(self.options.watch_slack_us);
        let response = self.send(&call, timeout_us).await?;
        if response.status() == StatusCode::NO_CONTENT || response.body().trim_ascii().is_empty() {
            return Ok(None);
        }
        let event: EventDocument = parse_body(response.body())?;
        let object = parse_object(event.object, kind, name)?;
        if object.version <= after {
            return Err(malformed(
                "the event's version is not newer than the watched version",
            ));
        }
        match event.event {
            EventType::Added | EventType::Modified => Ok(Some(object)),
            EventType::Deleted => {
                let detail = "the watched object was deleted";
                Err(PlatformError::new(PlatformErrorKind::NotFound, detail))
            }
        }
    }
}

/// Returns whether the call might succeed at another address.
fn is_outage(error: &PlatformError) -> bool {
    matches!(
        error.kind(),
        PlatformErrorKind::Unavailable
            | PlatformErrorKind::AnswerLost
            | PlatformErrorKind::Malformed
    )
}
