//! Decides for each part of an endpoint's answer whether the caller gets it.

use statig::blocking::{IntoStateMachineExt, StateMachine};
use wisteriahitch_types::{AttemptNumber, Code, EndpointId, RequestId, WeightVersion};

use super::stream_state_machine::{Event, StreamState, StreamStateMachine};
use super::{
    BreakDecision, DropCounts, DropReason, HeadVerdict, StreamBreak, StreamHead, StreamToken,
    TokenVerdict,
};

const FIRST_ATTEMPT: AttemptNumber = AttemptNumber::new(1);

/// Lets each token of one request pass to its caller once and in order.
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
/// // The connection breaks; the same endpoint gives the rest.
/// let decision = check.on_break(&StreamBreak {
///     code: Code::EndpointLost,
///     endpoint_version: Some(version.clone()),
///     may_restart: true,
///     may_retry: true,
/// });
/// assert!(matches!(decision, Some(BreakDecision::Resume { position: 1, .. })));
/// assert_eq!(check.on_head(&head(2)), HeadVerdict::Pass);
///
/// // What the first attempt had still under way is dropped.
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
    /// Builds the check for a request that was decided for an endpoint with these weights.
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

    /// Starts at a later token, for a caller that has the earlier ones already.
    ///
    /// Such an answer can't be restarted: other weights or chance would give another beginning.
    pub fn with_start_position(mut self, position: u64) -> Self {
        self.next_position = position;
        self
    }

    /// Counts on from an earlier answer's attempts, so that what is left of them is dropped.
    pub fn with_first_attempt(mut self, attempt: AttemptNumber) -> Self {
        self.attempt = attempt;
        self
    }

    /// Checks the head of an endpoint's answer, before the first byte goes on.
    pub fn on_head(&mut self, head: &StreamHead) -> HeadVerdict {
        if let Some(reason) = self.find_mismatch(&head.request, head.attempt) {
            return HeadVerdict::Drop(self.count_drop(reason));
        }
        if self.state() != (StreamState::AwaitingHead {}) {
            return HeadVerdict::Drop(self.count_drop(DropReason::AfterEnd));
        }
        // The weights may be swapped between decision and run. Going on would mix two versions
        // in one answer, or use blocks of one with the other.
        if head.weight_version != self.weight_version {
            self.machine.handle(&Event::Break);
            return HeadVerdict::WrongVersion;
        }
        self.machine.handle(&Event::Head);
        HeadVerdict::Pass
    }

    /// Checks a token.
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

    /// Decides how to go on after the current attempt broke.
    ///
    /// Returns nothing once the answer is whole or has been given up: a connection that closes
    /// then means nothing.
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

    /// Names where a restarted attempt runs, since the weights are checked against that decision.
    ///
    /// Has no effect once a token has passed: the rest must come from where the beginning came.
    pub fn set_target(&mut self, endpoint: EndpointId, weight_version: WeightVersion) {
        if self.has_reached_caller() || self.state() != (StreamState::AwaitingHead {}) {
            return;
        }
        self.endpoint = endpoint;
        self.weight_version = weight_version;
    }

    /// Returns the attempt that is current.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns the position of the next token for the caller.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// Returns whether every token has been passed on.
    pub fn is_complete(&self) -> bool {
        self.state() == (StreamState::Complete {})
    }

    /// Returns what was dropped so far.
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
