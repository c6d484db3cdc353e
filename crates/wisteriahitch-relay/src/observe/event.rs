//! Events of the log.

use std::net::IpAddr;

use serde::Serialize;

/// An event; `docs/LOGS.md` explains each.
///
/// An event is a decision about a request, or a change of the daemon's state. Its fields are the
/// inputs of the decision, with their age or version, and the outcome.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[allow(missing_docs, reason = "docs/LOGS.md explains the fields")]
pub enum Event {
    /// The process has started.
    Started {
        daemon: String,
        incarnation: u64,
        zone: String,
        peer_port: u16,
        ignored_settings: Vec<String>,
    },
    /// The process was told to exit and starts to drain.
    DrainStarted { in_flight: usize },
    /// The process exits.
    Stopped { in_flight: usize, waited_ms: u64 },
    /// The settings file was read again.
    SettingsReloaded { is_valid: bool, detail: String },
    /// The daemon became ready to serve, or is no longer ready.
    ReadyChanged { is_ready: bool, endpoints: usize },
    /// A call has ended, with any outcome.
    CallEnded(Box<CallEnded>),
    /// An attempt at a call failed; `next` is what was decided about the next one.
    AttemptFailed {
        request: String,
        fingerprint: String,
        parts: Vec<String>,
        endpoint: String,
        attempt: u32,
        reason: &'static str,
        detail: String,
        may_have_run: bool,
        known_brittle: bool,
        own_running: u32,
        next: &'static str,
        budget_left: f64,
    },
    /// The answer to an attempt ended in a way that a broken one may end in as well: with its
    /// connection, or without an event after a resumption.
    AnswerEnded {
        request: String,
        endpoint: String,
        software: String,
        weights: Option<u64>,
        status: u16,
        framing: &'static str,
        resumed_after: Option<u64>,
        is_empty: bool,
        forwarder: Option<IpAddr>,
        evidence: Option<&'static str>,
        waited_ms: u64,
    },
    /// A stream was resumed at another endpoint.
    StreamResumed {
        request: String,
        endpoint: String,
        after_event: Option<u64>,
    },
    /// A caller resumes a stream: which software version began it and who knew it, or why it is
    /// refused.
    StreamOrigin {
        request: String,
        resumes: Option<String>,
        outcome: &'static str,
        service: Option<String>,
        software: Option<String>,
        asked: usize,
        answers: usize,
        waited_ms: u64,
    },
    /// The state of an endpoint has changed.
    EndpointChanged {
        endpoint: String,
        change: &'static str,
        service: String,
        revision: u64,
    },
    /// An endpoint's process ended while calls of this daemon were in flight there.
    EndpointCrashed {
        endpoint: String,
        proof: &'static str,
        calls: usize,
    },
    /// The process at an endpoint's address has another start than the registered one, or reports
    /// none. The endpoint counts as cold from then on.
    EndpointRestartSeen {
        endpoint: String,
        start_unix_ms: Option<u64>,
    },
    /// An endpoint states another rate limit than before, or no longer states one.
    EndpointLimitChanged {
        endpoint: String,
        calls_per_s: Option<f64>,
        source: &'static str,
        age_ms: u64,
    },
    /// The endpoints of a service state that they are brittle, or no longer state it.
    ServiceBrittle {
        service: String,
        max_refusals_per_s: Option<u32>,
        source: &'static str,
    },
    /// An endpoint stated in an answer that it is leaving.
    EndpointLeaving {
        endpoint: String,
        source: &'static str,
    },
    /// An endpoint refused a call and wants no further calls from this daemon for a while.
    EndpointResting { endpoint: String, rest_ms: u64 },
    /// A statement of an endpoint about itself can't be parsed, for the first time in this instance
    /// of the endpoint.
    EndpointStatementMalformed {
        endpoint: String,
        statement: &'static str,
    },
    /// A request, or those with a part in their prompts, are no longer sent to any endpoint, because
    /// endpoints crash under them.
    RequestBlocked {
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        #[serde(skip_serializing_if = "Option::is_none")]
        part: Option<String>,
        source: &'static str,
    },
    /// Blocked requests are sent to endpoints again.
    RequestUnblocked {
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        #[serde(skip_serializing_if = "Option::is_none")]
        part: Option<String>,
        reason: &'static str,
    },
    /// An endpoint was ejected for a while, or is used again.
    EndpointEjected {
        endpoint: String,
        is_ejected: bool,
        failure_rate: f64,
    },
    /// Connections from this daemon to the endpoints of a service no longer open, so that other
    /// daemons open them; or they open again.
    EndpointsPartitioned {
        service: String,
        is_partitioned: bool,
    },
    /// A configuration was adopted.
    ConfigAdopted {
        version: u64,
        revision: u64,
        source: String,
        routes: usize,
        bytes: usize,
    },
    /// The store has returned with an older configuration than the one in force, or has it again. Until
    /// then nothing is reported as unknown.
    ConfigLost {
        is_lost: bool,
        version: u64,
        store_version: u64,
    },
    /// The evacuation of an availability zone has started or ended.
    EvacuationChanged {
        zone: String,
        is_evacuated: bool,
        source: String,
    },
    /// An object can't be decoded. A configuration and wanted weights stay in force as they were;
    /// an endpoint of this name gets no new calls.
    ObjectUnreadable {
        kind: &'static str,
        name: String,
        reason: &'static str,
        detail: String,
    },
    /// New weights are wanted.
    WeightsWanted {
        model: String,
        version: u64,
        /// Maximum time since the store acknowledged them, as far as this daemon knows on its own.
        max_age_ms: u64,
    },
    /// Another daemon joined or was lost.
    MemberChanged {
        member: String,
        change: &'static str,
    },
    /// The store became reachable or unreachable.
    StoreReachable {
        kind: &'static str,
        is_reachable: bool,
        /// Time since its last answer for this kind, if there was one.
        silent_ms: Option<u64>,
        detail: String,
    },
    /// The known objects of a kind are too old to report others as unknown, or were confirmed
    /// again.
    ObjectsConfirmed {
        kind: &'static str,
        is_confirmed: bool,
        age_ms: Option<u64>,
        source: &'static str,
        hubs: usize,
        is_watching: bool,
        next_call_ms: Option<u64>,
    },
    /// A large answer with objects has arrived, from the store or from another daemon.
    ObjectsReceived {
        kind: &'static str,
        from: String,
        bytes: usize,
        resumed_at: usize,
        elapsed_ms: u64,
    },
    /// The store has returned with an older copy of its objects, or named its epoch for the first time.
    StoreEpochChanged { from: u64, to: u64, source: String },
    /// An answer is older than what was known before it, so nothing of it is used.
    OutdatedAnswer {
        kind: &'static str,
        source: String,
        revision: u64,
        known_revision: u64,
    },
    /// Objects were fetched from another daemon because the store didn't send them.
    CaughtUp {
        kind: &'static str,
        from: String,
        revision: u64,
    },
    /// The lease for giving orders changed hands.
    LeaseChanged { phase: String, fence: u64 },
    /// An order was given to an endpoint.
    OrderGiven {
        endpoint: String,
        model: String,
        version: u64,
        expected_orders: u64,
        fence: u64,
        outcome: String,
    },
    /// A rollout isn't expected to finish within its bound.
    RolloutLate {
        behind: usize,
        parallel: usize,
        turnaround_ms: u64,
        left_ms: u64,
        needed_ms: u64,
    },
    /// A store of prompt parts became reachable or unreachable.
    PartStoreReachable {
        store: String,
        is_reachable: bool,
        detail: String,
    },
    /// An engine was instructed to fetch parts from stores on stale knowledge: without a deadline, under
    /// weights that were replaced a while ago, or long after the wanted weights were last confirmed.
    StaleStoreFetch {
        request: String,
        endpoint: String,
        scope: String,
        stores: Vec<String>,
        /// Deadline on the clock of the stores, which `parts_freed` gives as well.
        deadline_ms: Option<u64>,
        report_age_ms: Option<u64>,
        confirmed_age_ms: Option<u64>,
        replaced_for_ms: Option<u64>,
    },
    /// Parts of replaced weights were freed in a store.
    PartsFreed {
        store: String,
        parts: usize,
        /// The first freed parts, each as its scope and its id.
        named: Vec<String>,
        models: Vec<FreedModel>,
        /// Time on the clock of the stores at which the store answered, at the earliest.
        clock_ms: Option<u64>,
        outcome: String,
    },
    /// Lines were omitted; they are counted by event name.
    LinesOmitted { counts: Vec<(String, u64)> },
    /// An operation failed that has no event of its own.
    Failure { what: &'static str, detail: String },
}

/// What a daemon knows of a model whose parts it frees.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs, reason = "docs/LOGS.md explains the fields")]
pub struct FreedModel {
    pub model: String,
    pub lowest: u64,
    pub lowest_for_ms: u64,
    pub learned_for_ms: Option<u64>,
}

/// How a call ended.
#[derive(Clone, Debug, Default, Serialize)]
#[allow(missing_docs, reason = "docs/LOGS.md explains the fields")]
pub struct CallEnded {
    pub request: String,
    pub route: String,
    pub kind: &'static str,
    pub workspace: String,
    pub config_version: u64,
    pub config_age_ms: Option<u64>,
    pub outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
    pub code: Option<u16>,
    pub status: u16,
    pub retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share_permille: Option<u16>,
    pub attempts: u32,
    pub endpoint: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub forwarder: Option<IpAddr>,
    /// Framing by which the end of the answer was recognised.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub framing: Option<&'static str>,
    pub weights: u64,
    pub candidates: usize,
    pub cached_tokens: u64,
    pub fetched_tokens: u64,
    pub unread_tokens: u64,
    pub queue_ms: Option<u64>,
    pub longest_queue_ms: Option<u64>,
    pub own_running: Option<u32>,
    pub peers_running: Option<u32>,
    pub suspected: Option<u32>,
    pub expected_ms: u64,
    pub first_event_ms: Option<u64>,
    pub total_ms: u64,
    pub deadline_ms: u64,
}

impl CallEnded {
    /// Returns whether the caller got a complete answer of an endpoint.
    pub fn is_answered(&self) -> bool {
        self.outcome == "answered"
    }
}

impl Event {
    /// Returns the name under which omitted lines are counted.
    pub fn name(&self) -> &'static str {
        match self {
            Event::Started { .. } => "started",
            Event::DrainStarted { .. } => "drain_started",
            Event::Stopped { .. } => "stopped",
            Event::SettingsReloaded { .. } => "settings_reloaded",
            Event::ReadyChanged { .. } => "ready_changed",
            Event::CallEnded(_) => "call_ended",
            Event::AttemptFailed { .. } => "attempt_failed",
            Event::AnswerEnded { .. } => "answer_ended",
            Event::StreamResumed { .. } => "stream_resumed",
            Event::StreamOrigin { .. } => "stream_origin",
            Event::EndpointChanged { .. } => "endpoint_changed",
            Event::EndpointCrashed { .. } => "endpoint_crashed",
            Event::EndpointRestartSeen { .. } => "endpoint_restart_seen",
            Event::EndpointLimitChanged { .. } => "endpoint_limit_changed",
            Event::ServiceBrittle { .. } => "service_brittle",
            Event::EndpointLeaving { .. } => "endpoint_leaving",
            Event::EndpointResting { .. } => "endpoint_resting",
            Event::EndpointStatementMalformed { .. } => "endpoint_statement_malformed",
            Event::RequestBlocked { .. } => "request_blocked",
            Event::RequestUnblocked { .. } => "request_unblocked",
            Event::EndpointEjected { .. } => "endpoint_ejected",
            Event::EndpointsPartitioned { .. } => "endpoints_partitioned",
            Event::ConfigAdopted { .. } => "config_adopted",
            Event::ConfigLost { .. } => "config_lost",
            Event::EvacuationChanged { .. } => "evacuation_changed",
            Event::ObjectUnreadable { .. } => "object_unreadable",
            Event::WeightsWanted { .. } => "weights_wanted",
            Event::MemberChanged { .. } => "member_changed",
            Event::StoreReachable { .. } => "store_reachable",
            Event::ObjectsConfirmed { .. } => "objects_confirmed",
            Event::ObjectsReceived { .. } => "objects_received",
            Event::StoreEpochChanged { .. } => "store_epoch_changed",
            Event::OutdatedAnswer { .. } => "outdated_answer",
            Event::CaughtUp { .. } => "caught_up",
            Event::LeaseChanged { .. } => "lease_changed",
            Event::OrderGiven { .. } => "order_given",
            Event::RolloutLate { .. } => "rollout_late",
            Event::PartStoreReachable { .. } => "part_store_reachable",
            Event::StaleStoreFetch { .. } => "stale_store_fetch",
            Event::PartsFreed { .. } => "parts_freed",
            Event::LinesOmitted { .. } => "lines_omitted",
            Event::Failure { .. } => "failure",
        }
    }

    /// Returns whether lines of this event have a budget of their own, because they are rare and are the
    /// only evidence of how an answer ended or which stored parts it was made from.
    pub fn is_reserved(&self) -> bool {
        matches!(
            self,
            Event::AnswerEnded { .. } | Event::StaleStoreFetch { .. } | Event::PartsFreed { .. }
        )
    }

    /// Returns whether lines of this event may be omitted when there are many of them.
    pub fn is_sampled(&self) -> bool {
        matches!(self, Event::CallEnded(ended) if ended.is_answered())
    }
}
