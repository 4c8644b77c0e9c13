//! Newtypes for names and identifiers.

use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result as FmtResult;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Reasons for which a text is rejected as a name or identifier.
#[derive(Clone, Debug, displaydoc::Display, Eq, Error, PartialEq)]
pub enum IdError {
    /// name is empty
    Empty,
    /// name is {0} bytes long; the maximum is 128 bytes
    TooLong(usize),
    /// name contains a character other than a-z, A-Z, 0-9, '.', '_' and '-': {0:?}
    InvalidCharacter(char),
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
    let invalid = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-'));
    invalid.map_or(Ok(()), |c| Err(IdError::InvalidCharacter(c)))
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
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            ///
            /// Returns an [`IdError`] if the text is empty, is longer than
            /// [`MAX_NAME_BYTES`] or contains a character other than ASCII letters, digits,
            /// `.`, `_` and `-`.
            pub fn new(text: impl Into<String>) -> Result<Self, IdError> {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// Returns the name as a string slice.
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
            /// Generates a random 128-bit identifier.
            pub fn random() -> Self {
                Self(rand::random())
            }

            /// Creates an identifier from its numeric value.
            pub const fn from_u128(value: u128) -> Self {
                Self(value)
            }

            /// Returns the numeric value of the identifier.
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
    /// Name of a version of a service.
    VersionName
);
name_id!(
    /// Name of an endpoint: one server process of a service.
    EndpointName
);
name_id!(
    /// Platform identifier of a VM; never reused for another VM.
    VmName
);
name_id!(
    /// Name of an entry VM, shared by its gate and its controller.
    NodeName
);
name_id!(
    /// Name of a failure domain.
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
    /// Name of a move, which shifts traffic from one version of a service to another.
    MoveName
);

random_id!(
    /// Identifier of a log record; a retried append reuses it, which allows deduplication.
    RecordId
);
random_id!(
    /// Identifier of a caller's request.
    RequestId
);
random_id!(
    /// Identifier of one attempt to execute a request on an endpoint.
    AttemptId
);

/// Position of a record in a log stream.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset of the following record.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for Offset {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}", self.0)
    }
}

/// Fencing token of a lease: the offset of the record that granted it.
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
