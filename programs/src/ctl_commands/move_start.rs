//! The `move start` subcommand.

use argh::FromArgs;
use hawthornrack_lib::ConfigState;
use hawthornrack_lib::Move;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::operator_proto as proto;

use super::apply::describe_conflict;
use super::arguments::TimeArg;
use super::arguments::now;
use super::arguments::parse_time_arg;
use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::output::format_time;
use super::progress::watch;
use super::session::Client;
use super::session::Session;

/// Starts a move of a service's traffic to another version.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "start",
    example = "{command_name} advisor-v2 --service advisor --to v2 --deadline 2h --watch",
    example = "{command_name} advisor-v2 --service advisor --to v2 --start 2026-12-03T20:00:00Z \\
    --deadline 2026-12-03T22:00:00Z"
)]
pub(crate) struct StartCommand {
    /// name of the move, not used by any earlier move
    #[argh(positional)]
    name: MoveName,
    /// service whose traffic is moved
    #[argh(option)]
    service: ServiceName,
    /// version to move traffic from; by default the version with the largest share, which must not
    /// be the one in --to
    #[argh(option)]
    from: Option<VersionName>,
    /// version to move traffic to
    #[argh(option)]
    to: VersionName,
    /// start of the move: a duration from now, as in 30m, or a UTC time; by default now
    #[argh(option, from_str_fn(parse_time_arg))]
    start: Option<TimeArg>,
    /// time by which all traffic must have moved: a duration from now, as in 2h, or a UTC time
    #[argh(option, from_str_fn(parse_time_arg))]
    deadline: TimeArg,
    /// watch the move until it ends
    #[argh(switch)]
    watch: bool,
}

impl StartCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let config = session.config().await?;
        let request = self.build_request(&config)?;
        let call = async |mut client: Client| client.start_move(request.clone()).await;
        let verdict = Verdict::try_from(session.call(call).await?)?;
        match verdict {
            Verdict::Accepted => {}
            Verdict::Conflict { current } => {
                let text = describe_conflict(current);
                let detail = format!("service {}: {text}; try again", self.service);
                return Err(CommandError::Conflict(detail));
            }
            Verdict::Invalid { reason } => return Err(CommandError::Failed(reason)),
        }
        if self.watch {
            return watch(session, output, &self.name).await;
        }
        let name = &self.name;
        output.print(&serde_json::json!({"started": name}), |_| {
            format!("move {name} started; `hawthornctl move watch {name}` shows its progress")
        });
        Ok(ExitStatus::Ok)
    }

    fn build_request(&self, config: &ConfigState) -> CommandResult<proto::StartMoveRequest> {
        let Some(service) = config.services.get(&self.service) else {
            let message = format!("there is no service {}", self.service);
            return Err(CommandError::Failed(message));
        };
        let spec = self.build_move(&service.value)?;
        Ok(proto::StartMoveRequest {
            base: service.revision.0,
            r#move: Some((&spec).into()),
        })
    }

    fn build_move(&self, service: &Service) -> CommandResult<Move> {
        let now = now();
        let largest_share = service.versions.iter().max_by_key(|(_, v)| v.share);
        let from = self.from.as_ref().or(largest_share.map(|(name, _)| name));
        let Some(from) = from.filter(|from| **from != self.to) else {
            let message = format!(
                "service {}: the move needs a version other than {} to move traffic from; \
                 select one with --from",
                self.service, self.to
            );
            return Err(CommandError::Failed(message));
        };
        let start = self.start.map_or(now, |start| start.resolve_future(now));
        let deadline = self.deadline.resolve_future(now);
        if deadline <= start.max(now) {
            let message = format!(
                "the deadline {} must be in the future and after the start {}",
                format_time(deadline),
                format_time(start)
            );
            return Err(CommandError::Usage(message));
        }
        Ok(Move {
            name: self.name.clone(),
            service: self.service.clone(),
            from: from.clone(),
            to: self.to.clone(),
            start,
            deadline,
        })
    }
}
