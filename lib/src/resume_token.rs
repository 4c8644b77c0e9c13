//! The sealed token with which a caller resumes a stream at any gate.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::Endpoint;
use crate::Error;
use crate::ErrorKind;
use crate::RequestId;
use crate::Result;
use crate::ServiceName;
use crate::SharedKey;
use crate::Timestamp;

/// Header, and query parameter in the address of a redirect, that carry the token.
pub const RESUME_HEADER: &str = "x-resume-token";

/// Use of the shared key for these tokens.
const PURPOSE: &str = "resume-token";

/// A generation on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineRun {
    /// Engine.
    pub endpoint: Endpoint,
    /// Stream on the engine.
    pub stream: String,
    /// Tokens of the answer that came before this generation.
    pub base: u32,
}

/// What a gate needs to pick a stream up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumeToken {
    /// Request.
    pub request: RequestId,
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Service called.
    pub service: ServiceName,
    /// Digest of the request.
    pub digest: u64,
    /// Time at which the answer must be complete.
    pub deadline: Timestamp,
    /// Generation on an engine.
    pub run: EngineRun,
}

impl ResumeToken {
    /// Returns the token as text, sealed with the shared key.
    pub fn seal(&self, key: &SharedKey) -> String {
        let json = serde_json::to_vec(self).unwrap_or_default();
        let payload = URL_SAFE_NO_PAD.encode(json);
        let tag = key.tag(PURPOSE, payload.as_bytes());
        format!("{payload}.{tag}")
    }

    /// Opens a token that a caller sent.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] when the token is malformed or its seal is wrong, and
    /// with [`ErrorKind::Forbidden`] when it was given to another customer.
    pub fn open(key: &SharedKey, text: &str, customer: &CustomerName) -> Result<Self> {
        let bad = || Error::new(ErrorKind::BadRequest, "the resume token is not valid");
        let (payload, tag) = text.split_once('.').ok_or_else(bad)?;
        if !key.verify(PURPOSE, payload.as_bytes(), tag) {
            return Err(bad());
        }
        let json = URL_SAFE_NO_PAD.decode(payload).map_err(|_base64| bad())?;
        let token: Self = serde_json::from_slice(&json).map_err(|_json| bad())?;
        if token.customer != *customer {
            let detail = "the resume token was given to another customer";
            return Err(Error::new(ErrorKind::Forbidden, detail));
        }
        Ok(token)
    }
}
