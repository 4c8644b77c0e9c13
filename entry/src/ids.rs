//! Identifier and name types.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Key of an endpoint in the arena of its table; never reused for another endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointKey(pub u32);

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a customer.
    CustomerName
);
name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Id of an endpoint; a restarted endpoint may keep it, with a newer incarnation.
    EndpointId
);
name_type!(
    /// Name of an entry VM.
    EntryName
);
name_type!(
    /// Name of a service.
    ServiceName
);
name_type!(
    /// Version of an endpoint's software.
    VersionName
);

/// Hash of a request's host, target, customer and body; equal requests have equal fingerprints.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Era of the platform's store: a later one began when the store returned from an older copy.
///
/// Positions and appended records of an earlier era say nothing about a later one. Zero stands for
/// an era that no response has named yet.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Number of low bits that hold the offset in [`StoreEra::number`].
    const OFFSET_BITS: u32 = 40;

    /// Returns a number for an offset of this era that is greater than that of every smaller offset
    /// and of every offset of an earlier era.
    pub fn number(self, offset: u64) -> u64 {
        (self.0 << Self::OFFSET_BITS) | offset
    }

    /// Returns the era of a number that [`StoreEra::number`] returned.
    pub fn of_number(number: u64) -> Self {
        Self(number >> Self::OFFSET_BITS)
    }
}

/// Id of a prompt part that several prompts may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
