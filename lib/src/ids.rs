//! Newtype identifiers.

use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result as FmtResult;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use thiserror::Error;

/// Longest accepted length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// A name or identifier that does not follow its grammar.
#[derive(Clone, Debug, displaydoc::Display, Eq, Error, PartialEq)]
pub enum IdError {
    /// a name is empty
    Empty,
    /// a name is longer than 128 bytes: {0} bytes
    TooLong(usize),
    /// a name holds a character other than a-z, A-Z, 0-9, '.', '_' and '-': {0:?}
    BadCharacter(char),
    /// not a hexadecimal number: {0:?}
    NotHex(String),
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    let bad = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-'));
    bad.map_or(Ok(()), |c| Err(IdError::BadCharacter(c)))
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Debug,
            DeserializeFromStr,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            SerializeDisplay,
        )]
        pub struct $name(String);

        impl $name {
            /// Checks `text` against the grammar of names and wraps it.
            ///
            /// # Errors
            ///
            /// Returns an [`IdError`] when the text is empty, too long or holds a
            /// character outside the grammar.
            pub fn new(text: impl Into<String>) -> Result<Self, IdError> {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::new(text)
            }
        }
    };
}

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            DeserializeFromStr,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            SerializeDisplay,
        )]
        pub struct $name(u128);

        impl $name {
            /// Draws a new random identifier.
            pub fn random() -> Self {
                Self(rand::random())
            }

            /// Wraps a number as an identifier.
            pub const fn from_u128(value: u128) -> Self {
                Self(value)
            }

            /// Returns the identifier as a number.
            pub const fn as_u128(self) -> u128 {
                self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_err| IdError::NotHex(text.to_owned()))
            }
        }
    };
}

name_id!(
    /// Name of a service.
    ServiceName
);
name_id!(
    /// Name of a version of a service's back end.
    VersionName
);
name_id!(
    /// Name of a back end: one server process of a service.
    EndpointName
);
name_id!(
    /// Platform identifier of a machine; never used again for another machine.
    VmName
);
name_id!(
    /// Name of an entry VM; its gate and its controller share it.
    NodeName
);
name_id!(
    /// Name of a failure domain (zone).
    DomainName
);
name_id!(
    /// Name of a region.
    RegionName
);
name_id!(
    /// Name of a customer.
    CustomerName
);
name_id!(
    /// Name of a move of traffic between two versions.
    MoveName
);

random_id!(
    /// Identifier of a log record, kept when an append is retried.
    RecordId
);
random_id!(
    /// Identifier of one request of a caller.
    RequestId
);
random_id!(
    /// Identifier of one attempt at running a request on an endpoint.
    AttemptId
);

/// Position of a record in a log stream.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for Offset {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}", self.0)
    }
}

/// Fencing number of a lease: the offset of the record that granted it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Display for Epoch {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}", self.0)
    }
}
