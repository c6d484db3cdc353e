//! Newtypes for names and numbers that identify an entity.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name that is accepted, in bytes, so that tables and messages stay bounded.
const MAX_NAME_LEN: usize = 128;

/// Reports a text that isn't a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("the name is empty")]
    Empty,
    /// The text has more than 128 bytes.
    #[error("the name is longer than {MAX_NAME_LEN} bytes")]
    TooLong,
    /// The text holds a character outside letters, digits, `.`, `_`, `-` and `:`.
    #[error("the name holds the character {0:?}; allowed are letters, digits and . _ - :")]
    BadCharacter(char),
    /// The text isn't a whole number.
    #[error("the number is not a whole number below 2^64")]
    BadNumber,
}

fn check_name(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > MAX_NAME_LEN {
        return Err(ParseIdError::TooLong);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || ".-_:".contains(c);
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(ParseIdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }
    )+};
}

macro_rules! number_type {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a plain number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the plain number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number that follows.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError::BadNumber)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )+};
}

name_type! {
    /// Identifies a customer of the site, such as one workshop or one seller.
    WorkspaceId,
    /// Identifies a service: a group of endpoints that do the same work.
    ServiceName,
    /// Identifies one endpoint of a service.
    EndpointId,
    /// Identifies one store VM by its configured name.
    StoreId,
    /// Identifies a model.
    ModelName,
    /// Identifies an adapter on top of a model.
    AdapterName,
    /// Identifies one version of a model's weights.
    WeightVersion,
    /// Identifies one request of a caller, through all its attempts.
    RequestId,
    /// Identifies a daemon by its configured name.
    DaemonId,
    /// Identifies an availability zone.
    AvailabilityZone,
    /// Identifies a region: availability zones that lie close together and share laws.
    Region,
    /// Identifies a route of a configuration that the platform holds.
    RouteName,
    /// Identifies a rule of the configuration.
    RuleName,
    /// Identifies one submission of configuration, chosen by the submitting operator's tool.
    SubmissionId,
    /// Identifies one life of a store VM; it changes when the VM comes back empty.
    StoreIncarnation,
}

number_type! {
    /// Counts accepted configurations; a higher one replaces a lower one.
    ConfigVersion,
    /// Orders the holders of a lease; an endpoint refuses an order with a lower one.
    FenceNumber,
    /// Counts the uses of a block's place in a store VM.
    Generation,
    /// Counts the attempts at one request, from 1.
    AttemptNumber,
    /// Names one life of a daemon process by a random number drawn at its start.
    Incarnation,
    /// Numbers the versions of a model's weights, where a site counts them upwards.
    WeightNumber,
}
