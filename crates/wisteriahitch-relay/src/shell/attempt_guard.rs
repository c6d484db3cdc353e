//! Cancels an attempt whose answer may no longer begin.

use std::sync::Arc;

use wisteriahitch_types::{DurationUs, EndpointInstance, ModelName, WeightNumber};

use super::attempt::{Failure, FailureKind};
use super::routed::RoutedCall;
use super::shared::Shared;
use crate::decide::placement::Placement;
use crate::site::{CallAttribute, CallAttributes, CallKind};

/// The conditions under which an attempt is cancelled before its answer has begun.
///
/// They hold for every attempt, also for one that resumes a stream: an endpoint may take seconds
/// until it has a free slot, whichever attempt it is.
pub(super) struct AttemptGuard {
    endpoint: EndpointInstance,
    /// Weights on which a stream would begin; `None` if the answer isn't one or names no weights.
    weights: Option<(ModelName, WeightNumber)>,
    /// `None` if the call tries whether what is blocked still crashes an endpoint.
    attributes: Option<CallAttributes>,
}

impl AttemptGuard {
    /// Creates the guard of an attempt at the endpoint of `placement`.
    pub(super) fn new(routed: &RoutedCall, placement: &Placement) -> Self {
        let prompt = routed.call.head.prompt.as_ref();
        let prompt = prompt.filter(|_| routed.route.kind == CallKind::Stream);
        let model = prompt.map(|prompt| prompt.model.clone());
        Self {
            endpoint: placement.endpoint.clone(),
            weights: model.zip(placement.weights),
            attributes: (!routed.is_trial).then(|| routed.call.attributes.clone()),
        }
    }

    /// Waits until the attempt must be cancelled, and returns why: the endpoint's weights expire,
    /// the endpoint has restarted, the call is blocked, or this process is about to exit.
    pub(super) async fn wait_until_cancelled(&self, shared: &Arc<Shared>) -> Failure {
        let (label, failure) = tokio::select! {
            () = self.wait_until_weights_expire(shared) => (
                "weights_over",
                Failure::new(FailureKind::Timeout, "its weights went out of use"),
            ),
            () = shared.wait_for_instance_end(&self.endpoint) => (
                "life_over",
                Failure::new(FailureKind::Lost, "the endpoint has started again"),
            ),
            () = shared.drain.abort_signal.cancelled() => (
                "exiting",
                Failure::new(FailureKind::Exiting, "the process is about to exit"),
            ),
            blocked = self.wait_until_blocked(shared) => (
                "blocked",
                Failure::new(
                    FailureKind::of_blocked(blocked),
                    format!("endpoints crash under {blocked}"),
                ),
            ),
        };
        shared.metrics.attempts.with_label_values(&[label]).inc();
        failure
    }

    async fn wait_until_blocked(&self, shared: &Shared) -> CallAttribute {
        match &self.attributes {
            Some(attributes) => shared.wait_until_blocked(attributes).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the latest time at which a stream may begin on its weights. There is one only
    /// while they are being replaced; otherwise this waits for that.
    ///
    /// Less urgent calls may wait at an endpoint seconds longer than expected. Without this limit,
    /// such a call would begin on weights that have expired by then. Once cancelled, it begins at
    /// another endpoint or, if it may not be repeated, its caller gets the failure at once.
    async fn wait_until_weights_expire(&self, shared: &Shared) {
        let Some((model, weights)) = &self.weights else {
            return std::future::pending().await;
        };
        loop {
            let changed = shared.site.wanted_changed();
            let wanted = shared.site.wanted_versions(model);
            let begin_by = wanted.and_then(|wanted| wanted.start_deadline(*weights));
            let Some(begin_by) = begin_by else {
                changed.await;
                continue;
            };
            let left_us = begin_by.since(shared.now());
            if left_us == DurationUs::ZERO {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left_us.into()) => {}
                () = changed => {}
            }
        }
    }
}
