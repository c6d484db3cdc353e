//! Numbered result codes. `docs/ERRORS.md` is generated from this list.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Meaning, ParseIdError};

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $meaning:ident, $status:literal;)+) => {
        /// Result code of a refusal, a report or a log entry.
        ///
        /// A test checks that the table in `docs/ERRORS.md` matches this enum.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name),+];

            /// Returns a one-sentence explanation: the doc comment of the variant.
            pub fn summary(self) -> &'static str {
                match self {
                    $(Code::$name => concat!($($doc),+).trim(),)+
                }
            }

            /// Returns what the code implies about whether the caller's request was run.
            pub const fn meaning(self) -> Meaning {
                match self {
                    $(Code::$name => Meaning::$meaning,)+
                }
            }

            /// Returns the HTTP status sent with the code, or 0 if the code has none.
            pub const fn http_status(self) -> u16 {
                match self {
                    $(Code::$name => $status,)+
                }
            }

            /// Returns the name of the variant.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Code::$name => stringify!($name),)+
                }
            }
        }
    };
}

codes! {
    /// The HTTP message could not be parsed.
    BadHttp = 1001, NotRun, 400;
    /// The body is not the JSON that this path expects.
    BadJson = 1002, NotRun, 400;
    /// The body is larger than the limit.
    BodyTooLarge = 1003, NotRun, 413;
    /// The headers are larger than the limit.
    HeaderTooLarge = 1004, NotRun, 431;
    /// The caller sent its request too slowly.
    SlowSender = 1005, NotRun, 408;
    /// The path or method is not served here.
    UnknownPath = 1007, NotRun, 404;
    /// No workspace has the key that the caller sent.
    UnknownKey = 1008, NotRun, 401;
    /// The ticket or idempotency key is malformed.
    BadKey = 1009, NotRun, 400;
    /// The ticket belongs to another workspace.
    ForeignTicket = 1010, NotRun, 403;
    /// The same key came with a different request.
    KeyReused = 1011, NotRun, 422;
    /// The operator's key is missing or wrong.
    OperatorKey = 1013, NotRun, 403;
    /// No request with this id is under way or kept here.
    UnknownRequest = 1014, NotRun, 404;

    /// No rule of the configuration lets the request run.
    RuleRefused = 2001, NotRun, 403;
    /// The workspace has used up its quota.
    QuotaExceeded = 2002, NotRun, 429;
    /// The workspace's queue is full.
    QueueFull = 2003, NotRun, 429;
    /// The deadline can't be met.
    DeadlineUnreachable = 2004, NotRun, 503;
    /// No endpoint can take the request now.
    NoEndpoint = 2005, NotRun, 503;
    /// The daemon has no configuration yet.
    NotReady = 2006, NotRun, 503;
    /// The daemon is draining and takes no new connection.
    Draining = 2007, NotRun, 503;
    /// The daemon holds as many streams as it may.
    StreamsFull = 2008, NotRun, 503;
    /// The model, adapter or weight version is not served.
    UnknownModel = 2009, NotRun, 404;
    /// The prompt is longer than the model takes.
    PromptTooLong = 2010, NotRun, 413;
    /// The endpoint itself said that it did not run the request.
    EndpointRefused = 2011, NotRun, 503;
    /// All endpoints of the service have just started, and none may get another request yet.
    EndpointsCold = 2012, NotRun, 503;
    /// All availability zones with endpoints of the service are evacuated.
    ZonesEvacuated = 2013, NotRun, 503;
    /// No endpoint that takes requests is in a region that the route and the workspace allow.
    RegionUnavailable = 2014, NotRun, 503;
    /// All endpoints of the service have said that they take no more requests for now.
    EndpointsLimited = 2015, NotRun, 503;
    /// No endpoint with the software version that began the stream takes it.
    SoftwareUnavailable = 2016, NotRun, 503;
    /// It is not known for certain which software version began the stream.
    StreamOriginUnknown = 2017, NotRun, 503;
    /// Callers ask for more than the service can do, and this rank or workspace has had its share.
    ShareUsedUp = 2018, NotRun, 503;

    /// The connection to the endpoint broke before an answer came.
    EndpointLost = 3001, OutcomeUnknown, 502;
    /// The endpoint did not answer in time.
    EndpointTimeout = 3002, OutcomeUnknown, 504;
    /// The endpoint's answer broke the protocol or was another request's.
    EndpointNonsense = 3003, OutcomeUnknown, 502;
    /// The stream ended before the answer was whole.
    StreamIncomplete = 3004, OutcomeUnknown, 502;
    /// The daemon that issued the ticket can't be reached or has died.
    TicketHolderLost = 3005, OutcomeUnknown, 503;
    /// The ticket has expired; whether its request ran is no longer known.
    TicketExpired = 3006, OutcomeUnknown, 409;
    /// The claim on the key can't be decided, because the platform can't be reached.
    ClaimUndecided = 3007, OutcomeUnknown, 503;
    /// Another daemon runs the request and can't be asked for its answer now.
    ClaimHeldElsewhere = 3008, OutcomeUnknown, 409;
    /// The request ran, but its answer is no longer kept.
    AnswerGone = 3009, OutcomeUnknown, 410;
    /// The key was used up by a refusal, and the request was not run.
    KeyRefused = 3010, NotRun, 409;
    /// The caller went away, and the request was cancelled.
    CallerGone = 3011, OutcomeUnknown, 0;
    /// The daemon failed inside; whether the request ran is not known.
    Internal = 3012, OutcomeUnknown, 500;
    /// The answer is larger than the limit for requests that may not be repeated.
    AnswerTooLarge = 3013, OutcomeUnknown, 502;
    /// Endpoints crashed one after the other under this request, and it is sent to none any more.
    RequestBlocked = 3014, OutcomeUnknown, 502;
    /// Endpoints crashed one after the other under a part of this prompt, and requests with it are
    /// sent to none any more.
    PromptPartBlocked = 3015, OutcomeUnknown, 502;

    /// The text is not TOML.
    ConfigSyntax = 4001, Notice, 422;
    /// The configuration holds a key that doesn't exist.
    ConfigUnknownKey = 4002, Notice, 422;
    /// A value has the wrong type, unit or range.
    ConfigBadValue = 4003, Notice, 422;
    /// A name refers to something that isn't defined.
    ConfigUnknownName = 4004, Notice, 422;
    /// A name is defined twice.
    ConfigDuplicateName = 4005, Notice, 422;
    /// A rule can never match, because an earlier one always matches first.
    ConfigUnreachableRule = 4006, Notice, 422;
    /// The last rule is not a default without conditions.
    ConfigNoDefault = 4007, Notice, 422;
    /// A required key is missing.
    ConfigMissingKey = 4008, Notice, 422;
    /// Another submission won; the version that won is named.
    ConfigConflict = 4009, Notice, 409;
    /// Whether the submission was accepted is unknown; ask again with its id.
    ConfigUnknown = 4010, Notice, 503;
    /// The configuration is larger than the platform takes.
    ConfigTooLarge = 4011, Notice, 413;
    /// A configuration object of the platform doesn't parse; the last good one stays in force.
    ConfigCorrupt = 4012, Notice, 0;
    /// Two values contradict each other.
    ConfigContradiction = 4013, Notice, 422;

    /// The platform can't be reached.
    PlatformUnavailable = 5001, Notice, 503;
    /// The platform's answer was lost; the write may have taken effect.
    PlatformAnswerLost = 5002, Notice, 503;
    /// The platform's answer doesn't parse.
    PlatformNonsense = 5003, Notice, 502;
    /// The budget of platform calls is used up.
    PlatformBudget = 5004, Notice, 503;
    /// The lease is held by another daemon.
    LeaseHeld = 5005, Notice, 409;
    /// The lease lapsed before the order could be given.
    LeaseLapsed = 5006, Notice, 409;
    /// The endpoint refused the order, because its fencing number is old.
    OrderFenced = 5007, Notice, 409;

    /// The block is not at the store any more.
    BlockGone = 6001, Notice, 410;
    /// The block's length, checksum, key or version is wrong.
    BlockCorrupt = 6002, Notice, 502;
    /// The store has no room.
    StoreFull = 6003, Notice, 507;
    /// The store can't be reached.
    StoreLost = 6004, Notice, 502;
}

impl Code {
    /// Returns the number used in messages and logs, without the prefix `W`.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number, or `None` if no code has it.
    pub fn try_from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "W{}", self.number())
    }
}

impl FromStr for Code {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('W')
            .and_then(|digits| digits.parse().ok())
            .and_then(Self::try_from_number)
            .ok_or(ParseIdError::BadNumber)
    }
}

impl From<Code> for String {
    fn from(code: Code) -> Self {
        code.to_string()
    }
}

impl TryFrom<String> for Code {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl Serialize for Code {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Code {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
