//! The key that the system's processes share, and the tags made with it.

use std::fmt::Debug;
use std::fmt::Formatter;
use std::fmt::Result as FmtResult;
use std::path::Path;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::Error;
use crate::ErrorKind;
use crate::Result;

/// Shortest accepted key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Key shared by the system's processes; never printed.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str("Secret")
    }
}

impl Secret {
    /// Wraps a key.
    pub fn new(key: &[u8]) -> Self {
        Self(Arc::from(key))
    }

    /// Reads the key from a file; white space around it is left out.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or the key is shorter than 16 bytes.
    pub fn load(path: &Path) -> Result<Self> {
        let refuse = |reason: String| {
            let detail = format!("secret file {}: {reason}", path.display());
            Error::new(ErrorKind::Internal, detail)
        };
        let bytes = std::fs::read(path).map_err(|error| refuse(error.to_string()))?;
        let key = bytes.trim_ascii();
        if key.len() < MIN_KEY_BYTES {
            return Err(refuse(format!("fewer than {MIN_KEY_BYTES} bytes")));
        }
        Ok(Self::new(key))
    }

    /// Returns the tag of `bytes` for a stated use (HMAC with SHA-256).
    pub fn tag(&self, purpose: &str, bytes: &[u8]) -> String {
        URL_SAFE_NO_PAD.encode(self.mac(purpose, bytes).finalize().into_bytes())
    }

    /// Tells whether `tag` is the tag of `bytes` for a stated use, in constant time.
    pub fn verify(&self, purpose: &str, bytes: &[u8], tag: &str) -> bool {
        URL_SAFE_NO_PAD
            .decode(tag)
            .is_ok_and(|tag| self.mac(purpose, bytes).verify_slice(&tag).is_ok())
    }

    fn mac(&self, purpose: &str, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_length| unreachable!("HMAC takes keys of any length"));
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac.update(bytes);
        mac
    }
}
