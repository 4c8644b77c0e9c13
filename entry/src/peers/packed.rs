//! Compressed messages between entries.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// Maximum size of a message before compression, as of a snapshot of the store; a peer must not make an entry
/// allocate more.
const MAX_UNPACKED_BYTES: u64 = 16 * 1024 * 1024;

/// A message as JSON, compressed (deflate).
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Packed(#[serde_as(as = "Base64")] pub Vec<u8>);

impl Packed {
    /// Compresses a message; `None` if it cannot be serialized.
    pub fn new<T: Serialize + ?Sized>(message: &T, level: Compression) -> Option<Self> {
        let json = serde_json::to_vec(message).ok()?;
        let mut encoder = DeflateEncoder::new(Vec::new(), level);
        encoder.write_all(&json).ok()?;
        encoder.finish().ok().map(Self)
    }

    /// Returns the message; `None` if it is unreadable or larger than 16 MiB.
    pub fn unpack<T: DeserializeOwned>(&self) -> Option<T> {
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(&*self.0).take(MAX_UNPACKED_BYTES + 1);
        let size = decoder.read_to_end(&mut json).ok()?;
        if size as u64 > MAX_UNPACKED_BYTES {
            return None;
        }
        serde_json::from_slice(&json).ok()
    }
}
