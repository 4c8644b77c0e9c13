//! Connection to one of several controllers.

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

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which a call must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a command waits for controllers that cannot answer yet.
const START_PATIENCE: Duration = Duration::from_secs(8);

/// Pause before all controllers are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Time between two pings on a connection, and time within which one must be answered.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Adds the operator's token to each call.
#[derive(Clone, Debug)]
pub(crate) struct AddToken {
    value: MetadataValue<Ascii>,
}

impl Interceptor for AddToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let value = self.value.clone();
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }
}

/// Client of one controller.
pub(crate) type Client = OperatorClient<InterceptedService<Channel, AddToken>>;

/// A session with whichever of the controllers answers.
///
/// Calls are sent again to the next controller when one does not answer. That is safe for
/// changes as well: each names the revision that it was made against, and a controller accepts
/// a change that is in force already.
#[derive(Debug)]
pub(crate) struct Session {
    servers: Vec<SocketAddr>,
    token: AddToken,
    current: usize,
    client: Option<Client>,
}

impl Session {
    /// Creates a session; connections are opened by calls.
    pub(crate) fn new(servers: Vec<SocketAddr>, token: Option<&Path>) -> CommandResult<Self> {
        if servers.is_empty() {
            let problem = "this command needs --server, as in --server 10.0.0.1:7300";
            return Err(CommandError::Usage(problem.to_owned()));
        }
        let Some(path) = token else {
            let problem = "this command needs --token-file, a file that holds the operator's token";
            return Err(CommandError::Usage(problem.to_owned()));
        };
        Ok(Self {
            servers,
            token: read_token(path)?,
            current: 0,
            client: None,
        })
    }

    /// Calls one controller after the other until one answers.
    ///
    /// Controllers that have just started answer that they know no configuration yet; they are
    /// asked again for a while.
    pub(crate) async fn call<T>(
        &mut self,
        call: impl AsyncFn(Client) -> Result<Response<T>, Status>,
    ) -> CommandResult<T> {
        let end = Instant::now() + START_PATIENCE;
        loop {
            let round = self.call_each(&call).await;
            let unreachable = matches!(round, Err(CommandError::Unreachable(_)));
            if !unreachable || Instant::now() >= end {
                return round;
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    async fn call_each<T>(
        &mut self,
        call: &impl AsyncFn(Client) -> Result<Response<T>, Status>,
    ) -> CommandResult<T> {
        let mut faults = Vec::new();
        for _ in 0..self.servers.len() {
            match self.call_current(call).await {
                Ok(reply) => return Ok(reply),
                Err(status) if is_unreachable(&status) => {
                    let server = self.servers[self.current];
                    faults.push(format!("{server}: {}", status.message()));
                    self.turn();
                }
                Err(status) => return Err(refused(&status)),
            }
        }
        let detail = format!("no server could answer ({})", faults.join("; "));
        Err(CommandError::Unreachable(detail))
    }

    /// Calls the current controller only.
    pub(crate) async fn call_current<T>(
        &mut self,
        call: &impl AsyncFn(Client) -> Result<Response<T>, Status>,
    ) -> Result<T, Status> {
        let client = self.connect().await?;
        let reply = timeout(CALL_TIMEOUT, call(client)).await;
        let reply = reply.unwrap_or_else(|_| Err(Status::unavailable("no answer in time")));
        reply.map(Response::into_inner)
    }

    /// Turns to the next controller.
    pub(crate) fn turn(&mut self) {
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
            .map_err(|error| Status::unavailable(connect_fault(&error)))?;
        let client = OperatorClient::with_interceptor(channel, self.token.clone())
            .max_decoding_message_size(MAX_ANSWER_BYTES);
        self.client = Some(client.clone());
        Ok(client)
    }
}

/// Returns the innermost cause, which tells what happened to the connection.
fn connect_fault(error: &tonic::transport::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

fn read_token(path: &Path) -> CommandResult<AddToken> {
    let text = fs::read_to_string(path)
        .map_err(|error| CommandError::Usage(format!("{}: {error}", path.display())))?;
    let value = format!("Bearer {}", text.trim()).parse();
    let empty = text.trim().is_empty();
    match value {
        Ok(value) if !empty => Ok(AddToken { value }),
        _ => {
            let path = path.display();
            let problem = format!("{path}: holds no token; one line of ASCII text is needed");
            Err(CommandError::Usage(problem))
        }
    }
}

/// Tells whether another controller may answer in place of this one.
pub(crate) fn is_unreachable(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::DeadlineExceeded | Code::Unknown | Code::Cancelled
    )
}

/// Returns the error of a call that a controller refused.
pub(crate) fn refused(status: &Status) -> CommandError {
    let message = status.message().to_owned();
    match status.code() {
        Code::Aborted => CommandError::Conflict(message),
        _ => CommandError::Failed(message),
    }
}
