//! What the endpoints of each service can do, learned from the answers that pass through.
//!
//! Load pattern: a deployment with engines of another speed, or plain services that take five times
//! longer than those known so far. Constants of the first deployments expect a queue that is twice
//! too long under overload, so that calls are refused that would be in time, and a first event that
//! is four times too early, so that calls are sent that are late.
//!
//! Rates belong to the hardware of a service, not to an endpoint's life: restarts and new weights
//! leave them as they are. In a large fleet each daemon sees an endpoint a few times a minute, so
//! daemons gossip their rates, and each uses the rates of its peers as its prior before its
//! own answers.

use std::collections::BTreeMap;

use wisteriahitch_types::ServiceName;

use super::endpoint_table::short_name;
use super::first_event_fit::{FirstEventFit, FirstEventRates, FirstEventWork};
use super::hint_accuracy::HintAccuracy;
use super::placement_request::READ_TOKENS_PER_MS;
use super::rates_section::{RatesSection, RatesUpdate, plain_call_us};
use crate::site::EngineSpec;

/// Maximum number of services with learned rates.
const MAX_SERVICES: usize = 12;
/// Reading rate that is assumed of engines of unknown speed, in tokens per millisecond: between the
/// 50 of older ones and the 160 of newer ones.
const ASSUMED_READ_TOKENS_PER_MS: f64 = 90.0;
/// Time that is assumed for generating one token, in milliseconds.
const ASSUMED_STEP_MS: f64 = 3.5;
/// Time that is assumed for a first event beyond reading and generating, in milliseconds.
const ASSUMED_OVERHEAD_MS: f64 = 4.0;
/// Delay that each running request is assumed to add to the first event of a new one, in
/// milliseconds, since it lengthens every step of the batch.
const RUNNING_REQUEST_MS: f64 = 0.4;
/// Assumed duration of a call to a service without an engine, in milliseconds.
const PLAIN_CALL_MS: f64 = 40.0;
/// Number of answers that constants count as.
const CONSTANTS_WEIGHT: f64 = 0.5;
/// Number of answers that the rates of all peers count as.
const PEERS_WEIGHT: f64 = 12.0;
/// Share of the difference by which a message changes what is known of peers.
const NEWEST_MESSAGE_SHARE: f64 = 0.1;
/// Maximum change of the logarithm of a figure by one message.
const MAX_MESSAGE_CHANGE: f64 = 0.1;
/// Answers of a sender from which on its rates have their full weight.
const FULL_WEIGHT_ANSWERS: f64 = 64.0;
/// Share of the difference by which one answer changes the time of a plain call.
const PLAIN_ANSWER_SHARE: f64 = 0.2;
/// Maximum change of the logarithm of that time by one answer.
const MAX_PLAIN_CHANGE: f64 = 0.1;
/// Range of the time of a plain call, in milliseconds.
const PLAIN_RANGE_MS: (f64, f64) = (0.5, 20_000.0);

/// What a call adds to the knowledge of rates once its answer begins or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceLesson {
    /// A call to an engine, whose first event is timed.
    Engine {
        /// Work before the first event.
        work: FirstEventWork,
        /// Tokens that the first event holds.
        tokens_per_event: u32,
    },
    /// A call to a plain service, whose whole answer is timed.
    Plain {
        /// Expected time in multiples of that of a call at an endpoint without others.
        multiple: f64,
    },
}

/// Rates on which the estimates of one placement are based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePace {
    /// Time that any first event takes, in milliseconds.
    pub fixed_ms: f64,
    /// Prompt tokens read per millisecond.
    pub read_tokens_per_ms: f64,
    /// Delay by each running request, in milliseconds.
    pub running_ms: f64,
    /// Duration of a call to a plain service, in milliseconds.
    pub plain_call_ms: f64,
    /// How good the lengths are that callers hint.
    pub hints: HintAccuracy,
}

impl ServicePace {
    /// Rates that are used where none are learned.
    pub(super) const CONSTANT: ServicePace = ServicePace {
        fixed_ms: 0.0,
        read_tokens_per_ms: READ_TOKENS_PER_MS,
        running_ms: RUNNING_REQUEST_MS,
        plain_call_ms: PLAIN_CALL_MS,
        hints: HintAccuracy::UNKNOWN,
    };
}

/// Learned rates of all services.
#[derive(Clone, Debug, Default)]
pub struct EngineRates {
    /// By the short name that stands for the service in messages.
    services: BTreeMap<u32, ServiceRates>,
}

#[derive(Clone, Debug, Default)]
struct ServiceRates {
    fit: FirstEventFit,
    /// Logarithm of the time of a plain call in milliseconds, and the number of answers behind it.
    plain: Option<(f64, u32)>,
    /// Rates that peers report.
    peer_rates: Option<FirstEventRates>,
    /// Logarithm of the time of a plain call that peers report.
    peer_plain: Option<f64>,
    hints: HintAccuracy,
}

impl EngineRates {
    /// Returns the rates of a service.
    pub fn pace(&self, service: &ServiceName, engine: Option<&EngineSpec>) -> ServicePace {
        let known = self.services.get(&short_name(service.as_str()));
        let tokens_per_event = engine.and_then(|engine| engine.tokens_per_event);
        let rates = known.and_then(|known| known.fit.rates().or(known.peer_rates));
        let rates = rates.unwrap_or_else(|| assumed_rates(tokens_per_event.unwrap_or(1)));
        ServicePace {
            fixed_ms: rates.fixed_ms,
            read_tokens_per_ms: 1.0 / rates.ms_per_token,
            running_ms: rates.running_ms,
            plain_call_ms: known.map_or(PLAIN_CALL_MS, ServiceRates::plain_call_ms),
            hints: known.map_or_else(HintAccuracy::default, |known| known.hints),
        }
    }

    /// Returns how many prompt tokens an engine of a service reads per millisecond.
    pub fn read_tokens_per_ms(&self, service: &ServiceName) -> f64 {
        self.pace(service, None).read_tokens_per_ms
    }

    /// Records the time of an answer of an endpoint that reported `reported_factor` times the usual
    /// time. Returns the time in multiples of what was expected before.
    pub fn record(
        &mut self,
        service: &ServiceName,
        lesson: PaceLesson,
        elapsed_ms: f64,
        reported_factor: f64,
    ) -> Option<f64> {
        let usual_ms = elapsed_ms / reported_factor;
        if !usual_ms.is_finite() || usual_ms <= 0.0 {
            return None;
        }
        let rates = self.service_mut(short_name(service.as_str()))?;
        match lesson {
            PaceLesson::Engine {
                work,
                tokens_per_event,
            } => {
                let (assumed, weight) = match rates.peer_rates {
                    Some(rates) => (rates, PEERS_WEIGHT),
                    None => (assumed_rates(tokens_per_event), CONSTANTS_WEIGHT),
                };
                let expected_ms = rates.fit.rates().unwrap_or(assumed).expected_ms(work);
                rates.fit.record(work, usual_ms, assumed, weight);
                Some(usual_ms / expected_ms)
            }
            PaceLesson::Plain { multiple } => {
                let expected_ms = rates.plain_call_ms() * multiple;
                rates.record_plain(usual_ms / multiple);
                Some(usual_ms / expected_ms)
            }
        }
    }

    /// Records the length of a complete answer, and the hinted one.
    pub fn record_hint(&mut self, service: &ServiceName, actual_tokens: u64, hinted_tokens: u64) {
        if let Some(rates) = self.service_mut(short_name(service.as_str())) {
            rates.hints.record(actual_tokens, hinted_tokens);
        }
    }

    /// Returns the rates to be sent to peers, or `None` if nothing was learned.
    pub fn section(&self) -> Option<RatesSection> {
        let updates = self.services.iter().filter_map(|(service, rates)| {
            let fitted = rates.fit.rates();
            (fitted.is_some() || rates.plain.is_some()).then(|| RatesUpdate {
                service: *service,
                answers: u16::try_from(rates.fit.sample_count()).unwrap_or(u16::MAX),
                first_event: fitted.map(Into::into),
                plain_call_us: rates.plain.map(|(log_ms, _)| plain_call_us(log_ms.exp())),
            })
        });
        let section = RatesSection {
            services: updates.collect(),
        };
        (!section.services.is_empty()).then_some(section)
    }

    /// Applies the rates that a peer reports for the services that `is_known`. Returns the number
    /// of updates with figures out of range, which are dropped.
    pub fn apply(&mut self, section: &RatesSection, is_known: impl Fn(u32) -> bool) -> usize {
        let mut dropped = 0;
        for update in section.services.iter().take(MAX_SERVICES) {
            if !update.is_valid() {
                dropped += 1;
                continue;
            }
            if !is_known(update.service) {
                continue;
            }
            if let Some(rates) = self.service_mut(update.service) {
                rates.apply(update);
            }
        }
        dropped + section.services.len().saturating_sub(MAX_SERVICES)
    }

    fn service_mut(&mut self, short_name: u32) -> Option<&mut ServiceRates> {
        let has_room = self.services.len() < MAX_SERVICES;
        if !has_room && !self.services.contains_key(&short_name) {
            return None;
        }
        Some(self.services.entry(short_name).or_default())
    }
}

impl ServiceRates {
    fn plain_call_ms(&self) -> f64 {
        let log_ms = self.plain.map(|(log_ms, _)| log_ms).or(self.peer_plain);
        log_ms.map_or(PLAIN_CALL_MS, f64::exp)
    }

    /// Moves the time of a plain call towards that of one answer, by at most a tenth of it: the
    /// answers of one service differ by a multiple, and a single one says little.
    fn record_plain(&mut self, elapsed_ms: f64) {
        let log_ms = elapsed_ms.clamp(PLAIN_RANGE_MS.0, PLAIN_RANGE_MS.1).ln();
        let (before, answers) = match (self.plain, self.peer_plain) {
            (Some(plain), _) => plain,
            (None, Some(peers)) => (peers, 0),
            (None, None) => (log_ms, 0),
        };
        // The first few answers count alike, so that the first one doesn't weigh for long.
        let share = PLAIN_ANSWER_SHARE.max(1.0 / f64::from(answers + 1));
        let max_change = match answers < 4 {
            true => f64::MAX,
            false => MAX_PLAIN_CHANGE,
        };
        let change = ((log_ms - before) * share).clamp(-max_change, max_change);
        self.plain = Some((before + change, answers.saturating_add(1)));
    }

    fn apply(&mut self, update: &RatesUpdate) {
        let weight = (f64::from(update.answers) / FULL_WEIGHT_ANSWERS).min(1.0);
        let first_event = update.first_event.filter(|_| update.answers > 0);
        if let Some(rates) = first_event.map(FirstEventRates::from) {
            let known = self.peer_rates.unwrap_or(rates);
            let toward =
                |known: f64, new: f64| known * log_step(known.ln(), new.ln(), weight).exp();
            self.peer_rates = Some(FirstEventRates {
                fixed_ms: toward(known.fixed_ms, rates.fixed_ms),
                ms_per_token: toward(known.ms_per_token, rates.ms_per_token),
                running_ms: toward(known.running_ms, rates.running_ms),
            });
        }
        if let Some(plain_call_us) = update.plain_call_us {
            let new = (f64::from(plain_call_us) / 1_000.0).ln();
            let known = self.peer_plain.unwrap_or(new);
            self.peer_plain = Some(known + log_step(known, new, 1.0));
        }
    }
}

/// Returns the change of a logarithm by one message.
fn log_step(known: f64, new: f64, weight: f64) -> f64 {
    let change = (new - known) * NEWEST_MESSAGE_SHARE * weight;
    change.clamp(-MAX_MESSAGE_CHANGE, MAX_MESSAGE_CHANGE)
}

fn assumed_rates(tokens_per_event: u32) -> FirstEventRates {
    FirstEventRates {
        fixed_ms: ASSUMED_OVERHEAD_MS + f64::from(tokens_per_event) * ASSUMED_STEP_MS,
        ms_per_token: 1.0 / ASSUMED_READ_TOKENS_PER_MS,
        running_ms: RUNNING_REQUEST_MS,
    }
}
