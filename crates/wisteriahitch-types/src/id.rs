//! Newtypes for identifiers: names and numbers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes, which bounds the size of tables and messages.
pub(crate) const MAX_NAME_LEN: usize = 128;

/// Error of parsing an identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("the name is empty")]
    Empty,
    /// The text has more than 128 bytes.
    #[error("the name is longer than {MAX_NAME_LEN} bytes")]
    TooLong,
    /// The text contains a character other than ASCII letters, digits, `.`, `_`, `-` and `:`.
    #[error("the name holds the character {0:?}; allowed are letters, digits and . _ - :")]
    BadCharacter(char),
    /// The text is not a whole number that fits into 64 bits.
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
            /// Builds the identifier from a plain number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the plain number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the identifier with the next higher number.
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
    /// Identifies a workspace: one customer of the site, such as a workshop or a seller.
    WorkspaceId,
    /// Identifies a service: a group of interchangeable endpoints.
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
    /// Identifies one request of a caller; all attempts at it share the id.
    RequestId,
    /// Identifies a daemon by its configured name.
    DaemonId,
    /// Identifies an availability zone.
    AvailabilityZone,
    /// Identifies a region: availability zones that are close together and under the same laws.
    Region,
    /// Identifies a route of a configuration that the platform stores.
    RouteName,
    /// Identifies a rule of the configuration.
    RuleName,
    /// Identifies one submission of a configuration; chosen by the operator's tool that submits it.
    SubmissionId,
    /// Identifies one incarnation of a store VM; it changes when the VM restarts empty.
    StoreIncarnation,
}

number_type! {
    /// Version of the accepted configuration; a higher version replaces a lower one.
    ConfigVersion,
    /// Fencing number of a lease. It grows with each new holder, and an endpoint refuses an order
    /// whose number is lower than one it has seen.
    FenceNumber,
    /// Generation of a block's slot in a store VM; grows each time the slot is reused.
    Generation,
    /// Number of an attempt at one request, starting at 1.
    AttemptNumber,
    /// Identifies one incarnation of a daemon: a random number generated when its process starts.
    Incarnation,
    /// Version number of a model's weights, at sites that number them in ascending order.
    WeightNumber,
}
