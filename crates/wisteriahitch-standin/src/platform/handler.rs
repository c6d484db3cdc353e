//! Answers of the platform's stand-in.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::platform::TokenBucket;

use super::call::{Call, CallMethod};
use super::control::{ControlState, PlatformControl, PlatformMode, VmList};
use super::object_table::{ObjectDocument, ObjectTable, WriteRefusal};
use super::options::PlatformOptions;
use crate::util::{Abort, Answer, Gate, Handler, answer_json, answer_status, read_json};

/// Largest content of an object.
const SPEC_LIMIT_BYTES: usize = 1_000_000;

/// Largest body that is read at all.
const BODY_LIMIT_BYTES: usize = 8_000_000;

const VM_KIND: &str = "virtualmachines";

/// Rate limits save up what a second gives.
const BURST_US: DurationUs = DurationUs::from_ms(1_000);

#[derive(Debug)]
pub(crate) struct PlatformHandler {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    gate: Gate,
    writes: TokenBucket,
    reads: TokenBucket,
    vm_lag: Duration,
}

#[derive(Debug, Default)]
struct State {
    objects: ObjectTable,
    control: ControlState,
    vm_lists_taken: u64,
    vm_lists_shown: u64,
}

impl PlatformHandler {
    pub(crate) fn new(options: &PlatformOptions, gate: Gate) -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            gate,
            writes: TokenBucket::new(options.writes_per_s, BURST_US),
            reads: TokenBucket::new(options.reads_per_s, BURST_US),
            vm_lag: options.vm_lag_us.into(),
        }
    }

    async fn handle_call(&self, call: Call, body: Incoming) -> Result<Answer, Abort> {
        let (mode, slow_ms) = {
            let mut state = self.state.lock();
            state.control.count(&call);
            (state.control.mode, state.control.slow_ms)
        };
        sleep(Duration::from_millis(slow_ms)).await;
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
        let bucket = if call.method.is_write() {
            &self.writes
        } else {
            &self.reads
        };
        if let Err(wait_us) = bucket.try_take() {
            self.state.lock().control.rate_limited += 1;
            return Ok(too_many_requests(wait_us));
        }
        match call.method {
            CallMethod::Get => Ok(self.get(&call)),
            CallMethod::List => Ok(self.list(&call)),
            CallMethod::Watch => Ok(self.watch(&call).await),
            _ => self.write(call, body).await,
        }
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
        let after = call.get_number("resourceVersion").unwrap_or(0);
        let wait_s = call.get_number("timeoutSeconds").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_secs(wait_s);
        let mut changes = self.changed.subscribe();
        loop {
            let event = self
                .state
                .lock()
                .objects
                .get_event(call.kind, &call.name, after);
            if let Some(event) = event {
                let line = json!({"type": event.type_name, "object": event.object});
                return answer_json(StatusCode::OK, &line);
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                return answer_status(StatusCode::OK);
            }
        }
    }

    async fn write(&self, call: Call, body: Incoming) -> Result<Answer, Abort> {
        if call.kind == VM_KIND {
            return Ok(refusal(StatusCode::FORBIDDEN, "Forbidden"));
        }
        let document = if call.method == CallMethod::Delete {
            None
        } else {
            match read_json::<ObjectDocument>(body, BODY_LIMIT_BYTES).await? {
                Ok(document) => Some(document),
                Err(_) => return Ok(refusal(StatusCode::BAD_REQUEST, "BadRequest")),
            }
        };
        let mut state = self.state.lock();
        let answer = write_object(&mut state.objects, &call, document);
        if !answer.status().is_success() {
            return Ok(answer);
        }
        self.changed.send_replace(state.objects.version());
        if state.control.take_lost_answer(&call) {
            return Err(Abort);
        }
        Ok(answer)
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Result<Answer, Abort> {
        if request.method() != Method::POST {
            let state = self.state.lock();
            return Ok(answer_json(StatusCode::OK, &state.control));
        }
        match read_json::<PlatformControl>(request.into_body(), BODY_LIMIT_BYTES).await? {
            Ok(change) => {
                let mut state = self.state.lock();
                state.control.apply(change);
                self.gate
                    .set_open(state.control.mode != PlatformMode::Refuse);
                Ok(answer_json(StatusCode::OK, &state.control))
            }
            Err(error) => Ok(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
        }
    }

    async fn handle_vms(self: &Arc<Self>, body: Incoming) -> Result<Answer, Abort> {
        let list = match read_json::<VmList>(body, BODY_LIMIT_BYTES).await? {
            Ok(list) => list,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let number = {
            let mut state = self.state.lock();
            state.vm_lists_taken += 1;
            state.vm_lists_taken
        };
        let handler = Arc::clone(self);
        tokio::spawn(async move {
            sleep(handler.vm_lag).await;
            handler.show_vms(number, list);
        });
        Ok(answer_status(StatusCode::ACCEPTED))
    }

    /// Puts a VM list in place unless a later one shows already.
    fn show_vms(&self, number: u64, list: VmList) {
        let mut state = self.state.lock();
        if number < state.vm_lists_shown {
            return;
        }
        state.vm_lists_shown = number;
        let objects = &mut state.objects;
        for gone in objects.list(VM_KIND) {
            let name = gone.metadata.name;
            if list.vms.iter().all(|vm| vm.name != name) {
                objects.delete_now(VM_KIND, &name);
            }
        }
        for vm in list.vms {
            let name = vm.name.clone();
            let spec = json!(vm.into_spec());
            if objects
                .get(VM_KIND, &name)
                .is_none_or(|old| old.spec != spec)
            {
                objects.put_now(VM_KIND, &name, spec);
            }
        }
        self.changed.send_replace(objects.version());
    }
}

/// Serves the handler that a server and the tasks of VM lists share.
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

fn write_object(
    objects: &mut ObjectTable,
    call: &Call,
    document: Option<ObjectDocument>,
) -> Answer {
    let Some(document) = document else {
        let Some(expected) = call.get_number("resourceVersion") else {
            return refusal(StatusCode::BAD_REQUEST, "BadRequest");
        };
        return match objects.delete(call.kind, &call.name, expected) {
            Ok(()) => answer_json(StatusCode::OK, &json!({"status": "Success"})),
            Err(reason) => refused_write(reason),
        };
    };
    if document.spec.to_string().len() > SPEC_LIMIT_BYTES {
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, "RequestEntityTooLarge");
    }
    let name = document.metadata.name;
    if call.method == CallMethod::Create {
        return match objects.create(call.kind, &name, document.spec) {
            Ok(object) => answer_json(StatusCode::CREATED, &object),
            Err(reason) => refused_write(reason),
        };
    }
    let expected = document.metadata.resource_version;
    let Some(expected) = expected.and_then(|text| text.parse().ok()) else {
        return refusal(StatusCode::BAD_REQUEST, "BadRequest");
    };
    match objects.update(call.kind, &call.name, document.spec, expected) {
        Ok(object) => answer_json(StatusCode::OK, &object),
        Err(reason) => refused_write(reason),
    }
}

fn refused_write(reason: WriteRefusal) -> Answer {
    match reason {
        WriteRefusal::AlreadyExists => refusal(StatusCode::CONFLICT, "AlreadyExists"),
        WriteRefusal::Conflict => refusal(StatusCode::CONFLICT, "Conflict"),
        WriteRefusal::NotFound => refusal(StatusCode::NOT_FOUND, "NotFound"),
    }
}

fn refusal(status: StatusCode, reason: &str) -> Answer {
    let body = json!({"kind": "Status", "code": status.as_u16(), "reason": reason});
    answer_json(status, &body)
}

fn too_many_requests(wait_us: DurationUs) -> Answer {
    let mut answer = refusal(StatusCode::TOO_MANY_REQUESTS, "TooManyRequests");
    let wait_s = wait_us.as_secs_f64().ceil().max(1.0);
    if let Ok(value) = HeaderValue::from_str(&wait_s.to_string()) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
