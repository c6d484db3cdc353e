//! Request handler of the platform's stand-in.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::platform::TokenBucket;

use super::answer::{refusal, too_many_requests, write_object};
use super::call::{Call, CallMethod};
use super::control::{PlatformControl, PlatformControlState, PlatformMode};
use super::object_table::{ObjectDocument, ObjectTable};
use super::options::PlatformOptions;
use super::vm_list::{VM_KIND, VmList};
use crate::util::{Abort, Answer, Handler, ListenerGate, answer_json, answer_status, read_json};

/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 8_000_000;

/// Burst of the rate limits: the calls of one second.
const RATE_BURST_US: DurationUs = DurationUs::from_ms(1_000);

#[derive(Debug)]
pub(crate) struct PlatformHandler {
    state: Mutex<PlatformState>,
    version_changed: watch::Sender<u64>,
    gate: ListenerGate,
    writes: TokenBucket,
    reads: TokenBucket,
    vm_lag: Duration,
}

#[derive(Debug, Default)]
struct PlatformState {
    objects: ObjectTable,
    control: PlatformControlState,
    /// Number of VM lists received, which numbers them in order of arrival.
    vm_lists_received: u64,
    /// Number of the VM list that is visible, or zero.
    visible_vm_list: u64,
}

impl PlatformHandler {
    pub(crate) fn new(options: &PlatformOptions, gate: ListenerGate) -> Self {
        Self {
            state: Mutex::default(),
            version_changed: watch::Sender::new(0),
            gate,
            writes: TokenBucket::new(options.writes_per_s, RATE_BURST_US),
            reads: TokenBucket::new(options.reads_per_s, RATE_BURST_US),
            vm_lag: options.vm_lag_us.into(),
        }
    }

    async fn handle_call(self: &Arc<Self>, call: Call, body: Incoming) -> Result<Answer, Abort> {
        let (mode, delay) = {
            let mut state = self.state.lock();
            state.control.count(&call);
            let delay = Duration::from_millis(state.control.slow_ms);
            (state.control.mode, delay)
        };
        match mode {
            PlatformMode::Up => {}
            PlatformMode::Down | PlatformMode::Refuse => return Err(Abort),
            PlatformMode::Unavailable => {
                return Ok(refusal(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "ServiceUnavailable",
                ));
            }
            PlatformMode::Hang => std::future::pending().await,
        }
        if let Some(answer) = self.refuse_over_rate(call.method) {
            return Ok(answer);
        }
        if call.method.is_write() {
            return self.handle_write(call, body, delay).await;
        }
        sleep(delay).await;
        match call.method {
            CallMethod::Watch => Ok(self.watch(&call).await),
            CallMethod::List => Ok(self.list(&call)),
            _ => Ok(self.get(&call)),
        }
    }

    fn refuse_over_rate(&self, method: CallMethod) -> Option<Answer> {
        let bucket = if method.is_write() {
            &self.writes
        } else {
            &self.reads
        };
        let retry_after_us = bucket.try_acquire().err()?;
        self.state.lock().control.rate_limited += 1;
        Some(too_many_requests(retry_after_us))
    }

    fn get(&self, call: &Call) -> Answer {
        match self.state.lock().objects.get(call.kind, &call.name) {
            Some(object) => answer_json(StatusCode::OK, &object),
            None => refusal(StatusCode::NOT_FOUND, "NotFound"),
        }
    }

    fn list(&self, call: &Call) -> Answer {
        let state = self.state.lock();
        let version = state.objects.version().to_string();
        let items = state.objects.list(call.kind);
        let listing = json!({"metadata": {"resourceVersion": version}, "items": items});
        answer_json(StatusCode::OK, &listing)
    }

    async fn watch(&self, call: &Call) -> Answer {
        let after = call.query_number("resourceVersion").unwrap_or(0);
        let timeout_s = call.query_number("timeoutSeconds").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_secs(timeout_s);
        let mut changes = self.version_changed.subscribe();
        loop {
            let event = self
                .state
                .lock()
                .objects
                .event_after(call.kind, &call.name, after);
            if let Some(event) = event {
                let event_body = json!({"type": event.type_name, "object": event.object});
                return answer_json(StatusCode::OK, &event_body);
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                return answer_status(StatusCode::OK);
            }
        }
    }

    async fn handle_write(
        self: &Arc<Self>,
        call: Call,
        body: Incoming,
        delay: Duration,
    ) -> Result<Answer, Abort> {
        if call.kind == VM_KIND {
            return Ok(refusal(StatusCode::FORBIDDEN, "Forbidden"));
        }
        let document = if call.method == CallMethod::Delete {
            None
        } else {
            match read_json::<ObjectDocument>(body, MAX_BODY_BYTES).await? {
                Ok(document) => Some(document),
                Err(_) => return Ok(refusal(StatusCode::BAD_REQUEST, "BadRequest")),
            }
        };
        let handler = Arc::clone(self);
        // A slow platform completes a write even if its caller has given up. Inside this request's
        // future the write would be dropped with the connection, and a test of such a late write
        // would pass without one.
        let write = tokio::spawn(async move {
            sleep(delay).await;
            handler.write(&call, document)
        });
        write.await.unwrap_or(Err(Abort))
    }

    fn write(&self, call: &Call, document: Option<ObjectDocument>) -> Result<Answer, Abort> {
        let mut state = self.state.lock();
        let answer = write_object(&mut state.objects, call, document);
        if !answer.status().is_success() {
            return Ok(answer);
        }
        self.version_changed.send_replace(state.objects.version());
        if state.control.consume_lost_answer(call) {
            return Err(Abort);
        }
        Ok(answer)
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        if request.method() != Method::POST {
            let state = self.state.lock();
            return Ok(answer_json(StatusCode::OK, &state.control));
        }
        let change = match read_json::<PlatformControl>(request.into_body(), MAX_BODY_BYTES).await?
        {
            Ok(change) => change,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let is_open = {
            let mut state = self.state.lock();
            state.control.apply(change);
            state.control.mode != PlatformMode::Refuse
        };
        self.gate.set_open(is_open).await;
        Ok(answer_json(StatusCode::OK, &self.state.lock().control))
    }

    async fn handle_vms(self: &Arc<Self>, body: Incoming) -> Result<Answer, Abort> {
        let list = match read_json::<VmList>(body, MAX_BODY_BYTES).await? {
            Ok(list) => list,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let number = {
            let mut state = self.state.lock();
            state.vm_lists_received += 1;
            state.vm_lists_received
        };
        let handler = Arc::clone(self);
        tokio::spawn(async move {
            sleep(handler.vm_lag).await;
            handler.make_vm_list_visible(number, list);
        });
        Ok(answer_status(StatusCode::ACCEPTED))
    }

    /// Makes a VM list visible, unless a later one is visible already.
    fn make_vm_list_visible(&self, number: u64, list: VmList) {
        let mut state = self.state.lock();
        if number < state.visible_vm_list {
            return;
        }
        state.visible_vm_list = number;
        list.apply_to(&mut state.objects);
        self.version_changed.send_replace(state.objects.version());
    }
}

/// Handler shared by both servers and by the tasks that delay VM lists.
#[derive(Clone, Debug)]
pub(crate) struct SharedPlatformHandler(pub(crate) Arc<PlatformHandler>);

#[async_trait]
impl Handler for SharedPlatformHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        match request.uri().path() {
            "/control" => self.0.handle_control(request).await,
            "/control/vms" => self.0.handle_vms(request.into_body()).await,
            _ => match Call::try_parse(request.method(), request.uri()) {
                Some(call) => self.0.handle_call(call, request.into_body()).await,
                None => Ok(refusal(StatusCode::NOT_FOUND, "NotFound")),
            },
        }
    }
}
