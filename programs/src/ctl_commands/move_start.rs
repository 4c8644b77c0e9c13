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

use super::apply::conflict_text;
use super::arguments::When;
use super::arguments::now;
use super::arguments::parse_when;
use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::Exit;
use super::output::Output;
use super::output::time_text;
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
    /// name of the move, never used before
    #[argh(positional)]
    name: MoveName,
    /// service whose traffic moves
    #[argh(option)]
    service: ServiceName,
    /// version that the traffic leaves; by default the one with the largest share
    #[argh(option)]
    from: Option<VersionName>,
    /// version that the traffic reaches
    #[argh(option)]
    to: VersionName,
    /// when the move starts: a distance from now, as in 30m, or a time (UTC); by default now
    #[argh(option, from_str_fn(parse_when))]
    start: Option<When>,
    /// by when all traffic must have moved: a distance from now, as in 2h, or a time (UTC)
    #[argh(option, from_str_fn(parse_when))]
    deadline: When,
    /// watch the move to its end
    #[argh(switch)]
    watch: bool,
}

impl StartCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let config = session.config().await?;
        let request = self.request(&config)?;
        let call = async |mut client: Client| client.start_move(request.clone()).await;
        let verdict = Verdict::try_from(session.call(call).await?)?;
        match verdict {
            Verdict::Accepted => {}
            Verdict::Conflict { current } => {
                let text = conflict_text(current);
                let detail = format!("service {}: {text}; try again", self.service);
                return Err(CommandError::Conflict(detail));
            }
            Verdict::Invalid { reason } => return Err(CommandError::Failed(reason)),
        }
        if self.watch {
            return watch(session, output, &self.name).await;
        }
        let name = &self.name;
        output.show(&serde_json::json!({"started": name}), |_| {
            format!("move {name} started; `hawthornctl move watch {name}` shows its progress")
        });
        Ok(Exit::Ok)
    }

    fn request(&self, config: &ConfigState) -> CommandResult<proto::StartMoveRequest> {
        let Some(service) = config.services.get(&self.service) else {
            let problem = format!("there is no service {}", self.service);
            return Err(CommandError::Failed(problem));
        };
        let spec = self.spec(&service.value)?;
        Ok(proto::StartMoveRequest {
            base: service.revision.0,
            r#move: Some((&spec).into()),
        })
    }

    fn spec(&self, service: &Service) -> CommandResult<Move> {
        let now = now();
        let largest = service.versions.iter().max_by_key(|(_, v)| v.share);
        let from = self.from.as_ref().or(largest.map(|(name, _)| name));
        let Some(from) = from.filter(|from| **from != self.to) else {
            let problem = format!("the traffic of {} is on {} already", self.service, self.to);
            return Err(CommandError::Failed(problem));
        };
        let start = self.start.map_or(now, |start| start.after(now));
        let deadline = self.deadline.after(now);
        if deadline <= start.max(now) {
            let problem = format!(
                "the deadline {} is not after the start {}, or has passed",
                time_text(deadline),
                time_text(start)
            );
            return Err(CommandError::Usage(problem));
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
