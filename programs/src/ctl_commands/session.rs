//! Connection to one of several controllers, with failover.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hawthornrack_lib::ConfigState;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::operator_proto::operator_client::OperatorClient;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tonic::Code;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::exit::CommandError;
use super::exit::CommandResult;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time from the start of a call after which a failed round over all controllers is not repeated.
const RETRY_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay before all controllers are tried again after none could serve the call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval between HTTP/2 pings on a connection, and timeout for the reply to one.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Interceptor that adds the operator's token to each call.
#[derive(Clone, Debug)]
pub(crate) struct TokenInterceptor {
    value: MetadataValue<Ascii>,
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let value = self.value.clone();
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }
}

/// Client for the operator RPC of one controller.
pub(crate) type Client = OperatorClient<InterceptedService<Channel, TokenInterceptor>>;

/// A session with any one of several controllers.
///
/// If a controller cannot serve a call, the call is sent again to the next one. That is safe for
/// changes as well: a controller accepts a change whose outcome is already in force, and rejects
/// one that is based on an outdated revision.
#[derive(Debug)]
pub(crate) struct Session {
    servers: Vec<SocketAddr>,
    interceptor: TokenInterceptor,
    current: usize,
    client: Option<Client>,
}

impl Session {
    /// Creates a session; the first call opens a connection.
    pub(crate) fn new(servers: Vec<SocketAddr>, token_file: Option<&Path>) -> CommandResult<Self> {
        if servers.is_empty() {
            let message = "this command needs --server, as in --server 10.0.0.1:7300";
            return Err(CommandError::Usage(message.to_owned()));
        }
        let Some(path) = token_file else {
            let message =
                "this command needs --token-file, a file with the operator's bearer token";
            return Err(CommandError::Usage(message.to_owned()));
        };
        Ok(Self {
            servers,
            interceptor: read_token(path)?,
            current: 0,
            client: None,
        })
    }

    /// Calls the controllers in turn until one serves or rejects the call.
    ///
    /// Controllers that have just started report that they are unavailable, because they have no
    /// configuration in force yet. If no controller can serve the call, all are therefore tried
    /// again until [`RETRY_TIMEOUT`] has passed.
    pub(crate) async fn call<T>(
        &mut self,
        call: impl AsyncFn(Client) -> Result<Response<T>, Status>,
    ) -> CommandResult<T> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            let result = self.call_any(&call).await;
            let unreachable = matches!(result, Err(CommandError::Unreachable(_)));
            if !unreachable || Instant::now() >= deadline {
                return result;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn call_any<T>(
        &mut self,
        call: &impl AsyncFn(Client) -> Result<Response<T>, Status>,
    ) -> CommandResult<T> {
        let mut errors = Vec::new();
        for _ in 0..self.servers.len() {
            match self.call_current(call).await {
                Ok(reply) => return Ok(reply),
                Err(status) if can_retry_elsewhere(&status) => {
                    let server = self.servers[self.current];
                    errors.push(format!("{server}: {}", status.message()));
                    self.select_next();
                }
                Err(status) => return Err(call_error(&status)),
            }
        }
        let detail = format!("no server could serve the call ({})", errors.join("; "));
        Err(CommandError::Unreachable(detail))
    }

    /// Calls the current controller, without failover.
    pub(crate) async fn call_current<T>(
        &mut self,
        call: &impl AsyncFn(Client) -> Result<Response<T>, Status>,
    ) -> Result<T, Status> {
        let client = self.connect().await?;
        let reply = timeout(CALL_TIMEOUT, call(client)).await;
        let reply = reply.unwrap_or_else(|_| {
            let message = format!("no reply within {} s", CALL_TIMEOUT.as_secs());
            Err(Status::unavailable(message))
        });
        reply.map(Response::into_inner)
    }

    /// Closes the connection and selects the next controller for later calls.
    pub(crate) fn select_next(&mut self) {
        self.client = None;
        self.current = (self.current + 1) % self.servers.len();
    }

    /// Returns the whole configuration in force.
    pub(crate) async fn config(&mut self) -> CommandResult<ConfigState> {
        let call = async |mut client: Client| client.get(proto::GetRequest {}).await;
        let message = self.call(call).await?;
        Ok(message.try_into()?)
    }

    async fn connect(&mut self) -> Result<Client, Status> {
        if let Some(client) = &self.client {
            return Ok(client.clone());
        }
        let server = self.servers[self.current];
        let channel = Endpoint::from_shared(format!("http://{server}"))
            .map_err(|error| Status::internal(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_INTERVAL)
            .connect()
            .await
            .map_err(|error| Status::unavailable(root_cause(&error)))?;
        let client = OperatorClient::with_interceptor(channel, self.interceptor.clone())
            .max_decoding_message_size(MAX_REPLY_BYTES);
        self.client = Some(client.clone());
        Ok(client)
    }
}

/// Returns the innermost cause of an error; the outer ones do not say why the connection failed.
fn root_cause(error: &tonic::transport::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

fn read_token(path: &Path) -> CommandResult<TokenInterceptor> {
    let text = fs::read_to_string(path)
        .map_err(|error| CommandError::Usage(format!("{}: {error}", path.display())))?;
    let value = format!("Bearer {}", text.trim()).parse();
    let empty = text.trim().is_empty();
    match value {
        Ok(value) if !empty => Ok(TokenInterceptor { value }),
        _ => {
            let path = path.display();
            let message = format!(
                "{path}: the file must contain a bearer token, \
                 one line of printable ASCII characters"
            );
            Err(CommandError::Usage(message))
        }
    }
}

/// Returns whether the call failed in such a way that another controller may serve it.
pub(crate) fn can_retry_elsewhere(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::DeadlineExceeded | Code::Unknown | Code::Cancelled
    )
}

/// Converts a status for which no other controller is tried into an error.
pub(crate) fn call_error(status: &Status) -> CommandError {
    let message = status.message().to_owned();
    match status.code() {
        Code::Aborted => CommandError::Conflict(message),
        _ => CommandError::Failed(message),
    }
}
