//! Tokens with which a caller resumes a stream at any gate, authenticated by the shared key.

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

/// Name of the request header, and of the query parameter in a redirect, that carries the token.
pub const RESUME_HEADER: &str = "x-resume-token";

/// Purpose label of these tokens' authentication tags under the shared key.
const KEY_PURPOSE: &str = "resume-token";

/// A generation that runs on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineGeneration {
    /// Endpoint of the engine.
    pub endpoint: Endpoint,
    /// Stream ID on the engine.
    pub stream: String,
    /// Number of tokens of the response that were generated before this generation started.
    pub base: u32,
}

/// Contents of a resume token: the state that a gate needs to continue a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumeToken {
    /// ID of the request.
    pub request: RequestId,
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Hash of the completion request, without the text that the caller has received.
    pub digest: u64,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
    /// Generation to resume.
    #[serde(rename = "run")]
    pub generation: EngineGeneration,
}

impl ResumeToken {
    /// Encodes the token as text and appends an authentication tag.
    ///
    /// The contents are base64-encoded JSON and not encrypted.
    pub fn sign(&self, key: &SharedKey) -> String {
        let json = serde_json::to_vec(self).unwrap_or_default();
        let payload = URL_SAFE_NO_PAD.encode(json);
        let tag = key.tag(KEY_PURPOSE, payload.as_bytes());
        format!("{payload}.{tag}")
    }

    /// Verifies and decodes a token that a customer sent.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] when the token is malformed or its tag does not
    /// match, and with [`ErrorKind::Forbidden`] when it was issued to another customer.
    pub fn verify(key: &SharedKey, text: &str, customer: &CustomerName) -> Result<Self> {
        let invalid = || Error::new(ErrorKind::BadRequest, "the resume token is not valid");
        let (payload, tag) = text.split_once('.').ok_or_else(invalid)?;
        if !key.verify(KEY_PURPOSE, payload.as_bytes(), tag) {
            return Err(invalid());
        }
        let json = URL_SAFE_NO_PAD
            .decode(payload)
            .map_err(|_base64| invalid())?;
        let token: Self = serde_json::from_slice(&json).map_err(|_json| invalid())?;
        if token.customer != *customer {
            let detail = "the resume token was given to another customer";
            return Err(Error::new(ErrorKind::Forbidden, detail));
        }
        Ok(token)
    }
}
