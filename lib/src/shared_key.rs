//! The secret key that all processes of a deployment share, and its check on the RPC ports.

use std::fmt::Debug;
use std::fmt::Formatter;
use std::path::Path;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::Mac;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use jsonrpsee::server::HttpBody;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tower::BoxError;
use tower::Layer;
use tower::Service;

use crate::Error;
use crate::ErrorKind;
use crate::Result;

/// Prefix of the `Authorization` header's value: the authentication scheme and the space that
/// precedes the key.
const SCHEME: &str = "Bearer ";

/// The secret key that all processes of a deployment share; its `Debug` output omits the key.
#[derive(Clone)]
pub struct SharedKey {
    header: HeaderValue,
    digest: [u8; 32],
}

impl SharedKey {
    /// Reads the key from a file and trims surrounding white space.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is empty or holds characters that are not allowed in a
    /// header.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let detail = format!("cannot read the shared key {}: {error}", path.display());
            Error::new(ErrorKind::Internal, detail)
        })?;
        Self::new(text.trim()).map_err(|error| {
            let detail = format!("the shared key {}: {}", path.display(), error.detail);
            Error::new(ErrorKind::Internal, detail)
        })
    }

    /// Creates a key from its text.
    ///
    /// # Errors
    ///
    /// Fails when the key is empty or holds characters that are not allowed in a header.
    pub fn new(key: &str) -> Result<Self> {
        if key.is_empty() {
            return Err(Error::new(ErrorKind::Internal, "the key is empty"));
        }
        let mut header = HeaderValue::from_str(&format!("{SCHEME}{key}"))
            .map_err(|_err| Error::new(ErrorKind::Internal, "the key is not printable text"))?;
        header.set_sensitive(true);
        let digest = Sha256::digest(header.as_bytes()).into();
        Ok(Self { header, digest })
    }

    /// Returns the `Authorization` header that authenticates a client.
    pub fn headers(&self) -> HeaderMap {
        HeaderMap::from_iter([(AUTHORIZATION, self.header.clone())])
    }

    /// Returns the authentication tag of `bytes` (HMAC-SHA-256 in base64url without padding).
    /// Tags for different purposes are not interchangeable.
    pub fn tag(&self, purpose: &str, bytes: &[u8]) -> String {
        URL_SAFE_NO_PAD.encode(self.mac(purpose, bytes).finalize().into_bytes())
    }

    /// Returns whether `tag` authenticates `bytes` for this purpose; compares in constant time.
    pub fn verify(&self, purpose: &str, bytes: &[u8], tag: &str) -> bool {
        URL_SAFE_NO_PAD
            .decode(tag)
            .is_ok_and(|tag| self.mac(purpose, bytes).verify_slice(&tag).is_ok())
    }

    fn mac(&self, purpose: &str, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.header.as_bytes())
            .unwrap_or_else(|_length| unreachable!("HMAC accepts keys of any length"));
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac.update(bytes);
        mac
    }

    /// Returns whether the request headers carry the key, in time that does not depend on the key.
    pub fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let Some(header) = headers.get(AUTHORIZATION) else {
            return false;
        };
        let digest: [u8; 32] = Sha256::digest(header.as_bytes()).into();
        digest.ct_eq(&self.digest).into()
    }
}

impl Debug for SharedKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

/// Layer that rejects requests without the key with status 401 and an empty body.
#[derive(Clone, Debug)]
pub(crate) struct SharedKeyLayer(pub(crate) SharedKey);

impl<S> Layer<S> for SharedKeyLayer {
    type Service = SharedKeyCheck<S>;

    fn layer(&self, inner: S) -> SharedKeyCheck<S> {
        SharedKeyCheck {
            inner,
            key: self.0.clone(),
        }
    }
}

/// Service created by [`SharedKeyLayer`].
#[derive(Clone, Debug)]
pub(crate) struct SharedKeyCheck<S> {
    inner: S,
    key: SharedKey,
}

impl<S, B> Service<Request<B>> for SharedKeyCheck<S>
where
    S: Service<Request<B>, Response = Response<HttpBody>, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = Response<HttpBody>;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        if self.key.is_authorized(request.headers()) {
            return Box::pin(self.inner.call(request));
        }
        let mut response = Response::new(HttpBody::empty());
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        Box::pin(async move { Ok(response) })
    }
}
