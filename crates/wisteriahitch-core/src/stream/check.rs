//! Decides for each head and token of an endpoint's answer whether it is passed to the caller.

use statig::blocking::{IntoStateMachineExt, StateMachine};
use wisteriahitch_types::{AttemptNumber, Code, EndpointId, RequestId, WeightVersion};

use super::stream_state_machine::{Event, StreamState, StreamStateMachine};
use super::{
    BreakDecision, DropCounts, DropReason, HeadVerdict, StreamBreak, StreamHead, StreamToken,
    TokenVerdict,
};

const FIRST_ATTEMPT: AttemptNumber = AttemptNumber::new(1);

/// Passes each token of one request to its caller once and in order.
///
/// ```
/// use wisteriahitch_core::stream::{
///     BreakDecision, DropReason, HeadVerdict, StreamBreak, StreamCheck, StreamHead, StreamToken,
///     TokenVerdict,
/// };
/// use wisteriahitch_types::{AttemptNumber, Code, RequestId, WeightVersion};
///
/// let request: RequestId = "r-1".parse()?;
/// let version: WeightVersion = "v1".parse()?;
/// let mut check = StreamCheck::new(request.clone(), "runner-1".parse()?, version.clone());
/// let token = |attempt, position| StreamToken {
///     request: request.clone(),
///     attempt: AttemptNumber::new(attempt),
///     position,
///     is_last: position == 1,
/// };
/// let head = |attempt| StreamHead {
///     request: request.clone(),
///     attempt: AttemptNumber::new(attempt),
///     weight_version: version.clone(),
/// };
///
/// assert_eq!(check.on_head(&head(1)), HeadVerdict::Pass);
/// assert_eq!(check.on_token(&token(1, 0)), TokenVerdict::Pass);
///
/// // The connection breaks; the same endpoint sends the remaining tokens.
/// let decision = check.on_break(&StreamBreak {
///     code: Code::EndpointLost,
///     endpoint_version: Some(version.clone()),
///     may_restart: true,
///     may_retry: true,
/// });
/// assert!(matches!(decision, Some(BreakDecision::Resume { position: 1, .. })));
/// assert_eq!(check.on_head(&head(2)), HeadVerdict::Pass);
///
/// // Tokens of the first attempt that arrive late are dropped.
/// let late = check.on_token(&token(1, 1));
/// assert_eq!(late, TokenVerdict::Drop(DropReason::OtherAttempt));
/// assert_eq!(check.on_token(&token(2, 1)), TokenVerdict::PassLast);
/// # Ok::<(), wisteriahitch_types::ParseIdError>(())
/// ```
pub struct StreamCheck {
    request: RequestId,
    endpoint: EndpointId,
    weight_version: WeightVersion,
    attempt: AttemptNumber,
    next_position: u64,
    machine: StateMachine<StreamStateMachine>,
    dropped: DropCounts,
}

impl StreamCheck {
    /// Creates the check for a request that was routed to an endpoint with this weight version.
    pub fn new(request: RequestId, endpoint: EndpointId, weight_version: WeightVersion) -> Self {
        Self {
            request,
            endpoint,
            weight_version,
            attempt: FIRST_ATTEMPT,
            next_position: 0,
            machine: StreamStateMachine.state_machine(),
            dropped: DropCounts::default(),
        }
    }

    /// Starts at a later token, for a caller that has already received the earlier ones.
    ///
    /// Such an answer cannot be restarted: with other weights, or by sampling, it would begin
    /// differently.
    pub fn with_start_position(mut self, position: u64) -> Self {
        self.next_position = position;
        self
    }

    /// Sets the number of the first attempt, above those of an earlier answer to the same request,
    /// so that late tokens of its attempts are dropped.
    pub fn with_first_attempt(mut self, attempt: AttemptNumber) -> Self {
        self.attempt = attempt;
        self
    }

    /// Checks the head of an endpoint's answer before any of it is passed on.
    pub fn on_head(&mut self, head: &StreamHead) -> HeadVerdict {
        if let Some(reason) = self.find_mismatch(&head.request, head.attempt) {
            return HeadVerdict::Drop(self.count_drop(reason));
        }
        if self.state() != (StreamState::AwaitingHead {}) {
            return HeadVerdict::Drop(self.count_drop(DropReason::AfterEnd));
        }
        // The endpoint may swap its weights between the routing decision and the run. Continuing
        // would mix two versions in one answer, or use cached blocks of one with the other.
        if head.weight_version != self.weight_version {
            self.machine.handle(&Event::Break);
            return HeadVerdict::WrongVersion;
        }
        self.machine.handle(&Event::Head);
        HeadVerdict::Pass
    }

    /// Checks a token of an endpoint's answer.
    pub fn on_token(&mut self, token: &StreamToken) -> TokenVerdict {
        if let Some(reason) = self.find_drop_reason(token) {
            return TokenVerdict::Drop(self.count_drop(reason));
        }
        if token.position > self.next_position {
            self.machine.handle(&Event::Break);
            return TokenVerdict::Missing;
        }
        self.next_position += 1;
        if !token.is_last {
            return TokenVerdict::Pass;
        }
        self.machine.handle(&Event::Last);
        TokenVerdict::PassLast
    }

    /// Decides how to continue after the current attempt broke.
    ///
    /// Returns `None` if the answer is already complete or was ended as incomplete: a connection
    /// that closes after that has no consequences.
    pub fn on_break(&mut self, broken: &StreamBreak) -> Option<BreakDecision> {
        if self.has_ended() {
            return None;
        }
        self.machine.handle(&Event::Break);
        let decision = self.decide_break(broken);
        match decision {
            BreakDecision::Incomplete(_) => self.machine.handle(&Event::GiveUp),
            _ => self.begin_attempt(),
        }
        Some(decision)
    }

    /// Sets the endpoint and weight version of a restarted attempt, which its head is checked
    /// against.
    ///
    /// Has no effect once a token was passed on: the remaining tokens must come from the endpoint
    /// and weights that produced the first ones.
    pub fn set_target(&mut self, endpoint: EndpointId, weight_version: WeightVersion) {
        if self.has_reached_caller() || self.state() != (StreamState::AwaitingHead {}) {
            return;
        }
        self.endpoint = endpoint;
        self.weight_version = weight_version;
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns the position of the next token to pass on.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// Returns whether all tokens, including the last one, have been passed on.
    pub fn is_complete(&self) -> bool {
        self.state() == (StreamState::Complete {})
    }

    /// Returns how many heads and tokens were dropped so far, by reason.
    pub fn drop_counts(&self) -> &DropCounts {
        &self.dropped
    }

    fn decide_break(&self, broken: &StreamBreak) -> BreakDecision {
        let attempt = self.attempt.next();
        let is_same_version = broken.endpoint_version.as_ref() == Some(&self.weight_version);
        if broken.may_retry && is_same_version {
            return BreakDecision::Resume {
                attempt,
                endpoint: self.endpoint.clone(),
                position: self.next_position,
                weight_version: self.weight_version.clone(),
            };
        }
        if broken.may_retry && broken.may_restart && !self.has_reached_caller() {
            return BreakDecision::RestartInvisible { attempt };
        }
        BreakDecision::Incomplete(self.incomplete_code(broken.code))
    }

    fn begin_attempt(&mut self) {
        self.attempt = self.attempt.next();
        self.machine.handle(&Event::Attempt);
    }

    fn incomplete_code(&self, code: Code) -> Code {
        if self.has_reached_caller() {
            return Code::StreamIncomplete;
        }
        code
    }

    fn has_reached_caller(&self) -> bool {
        self.next_position > 0
    }

    fn has_ended(&self) -> bool {
        matches!(
            self.state(),
            StreamState::Complete {} | StreamState::Incomplete {}
        )
    }

    fn find_mismatch(&self, request: &RequestId, attempt: AttemptNumber) -> Option<DropReason> {
        if *request != self.request {
            return Some(DropReason::OtherRequest);
        }
        (attempt != self.attempt).then_some(DropReason::OtherAttempt)
    }

    fn find_drop_reason(&self, token: &StreamToken) -> Option<DropReason> {
        if let Some(reason) = self.find_mismatch(&token.request, token.attempt) {
            return Some(reason);
        }
        match self.state() {
            StreamState::AwaitingHead {} => Some(DropReason::BeforeHead),
            StreamState::Streaming {} if token.position < self.next_position => {
                Some(DropReason::Duplicate)
            }
            StreamState::Streaming {} => None,
            _ => Some(DropReason::AfterEnd),
        }
    }

    fn count_drop(&mut self, reason: DropReason) -> DropReason {
        self.dropped.add(reason);
        reason
    }

    fn state(&self) -> StreamState {
        *self.machine.state()
    }
}
