//! Progress of a move that is being watched.

use std::io::IsTerminal;
use std::time::Duration;

use hawthornrack_lib::FULL_SHARE;
use hawthornrack_lib::MoveEnd;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::MovePhase;
use hawthornrack_lib::MoveProgress;
use hawthornrack_lib::MoveResult;
use hawthornrack_lib::VersionEvidence;
use hawthornrack_lib::operator_proto as proto;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tonic::Code;
use tonic::Status;
use tonic::Streaming;

use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::Exit;
use super::output::Output;
use super::output::percent;
use super::output::print_line;
use super::output::time_text;
use super::session::Client;
use super::session::Session;
use super::session::is_unreachable;
use super::session::refused;

/// Time without a message after which a watch turns to another server; a server sends one at
/// least every 5 s.
const SILENCE_LIMIT: Duration = Duration::from_secs(15);

/// Time without any progress message after which a watch gives up.
const GIVE_UP: Duration = Duration::from_mins(1);

/// Time for which a server may not know of a move that another has accepted.
const LAG_LIMIT: Duration = Duration::from_secs(10);

/// Time between two attempts at opening a watch.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

const BAR: &str = "{prefix} [{bar:30}] {msg}";

/// Watches a move to its end, over several servers where one goes away.
pub(crate) async fn watch(session: &mut Session, output: Output, name: &MoveName) -> CommandResult {
    let mut display = Display::new(output, name);
    let mut last = Instant::now();
    loop {
        let fault = match follow(session, name, &mut display, &mut last).await {
            Ok(end) => return Ok(display.finish(name, &end)),
            Err(status) => status,
        };
        let silence = last.elapsed();
        let lagging = fault.code() == Code::NotFound && silence < LAG_LIMIT;
        if !is_unreachable(&fault) && !lagging {
            return Err(refused(&fault));
        }
        if silence >= GIVE_UP {
            let detail = format!("no server reports on move {name}: {}", fault.message());
            return Err(CommandError::Unreachable(detail));
        }
        session.turn();
        sleep(RETRY_INTERVAL).await;
    }
}

async fn follow(
    session: &mut Session,
    name: &MoveName,
    display: &mut Display,
    last: &mut Instant,
) -> Result<MoveEnd, Status> {
    let request = proto::WatchMoveRequest {
        name: name.to_string(),
    };
    let call = async |mut client: Client| client.watch_move(request.clone()).await;
    let mut stream = session.call_current(&call).await?;
    loop {
        let progress = receive(&mut stream).await?;
        *last = Instant::now();
        display.show(&progress);
        if let Some(end) = progress.end {
            return Ok(end);
        }
    }
}

async fn receive(stream: &mut Streaming<proto::MoveProgress>) -> Result<MoveProgress, Status> {
    let message = timeout(SILENCE_LIMIT, stream.message())
        .await
        .map_err(|_elapsed| Status::unavailable("the server went silent"))??;
    let message = message.ok_or_else(|| Status::unavailable("the server ended the watch"))?;
    MoveProgress::try_from(message).map_err(|error| Status::internal(error.to_string()))
}

/// Shows progress as a bar on a terminal, else as lines.
struct Display {
    output: Output,
    bar: Option<ProgressBar>,
    last: Option<String>,
}

impl Display {
    fn new(output: Output, name: &MoveName) -> Self {
        let terminal = std::io::stderr().is_terminal();
        let bar = (terminal && !output.is_json()).then(|| {
            let bar = ProgressBar::new(u64::from(FULL_SHARE));
            if let Ok(style) = ProgressStyle::with_template(BAR) {
                bar.set_style(style);
            }
            bar.set_prefix(name.to_string());
            bar
        });
        Self {
            output,
            bar,
            last: None,
        }
    }

    fn show(&mut self, progress: &MoveProgress) {
        if self.output.is_json() {
            self.output.show(progress, |_| String::new());
            return;
        }
        let text = describe(progress);
        if let Some(bar) = &self.bar {
            bar.set_position(u64::from(progress.share));
            bar.set_message(text);
        } else if self.last.as_ref() != Some(&text) {
            print_line(&text);
            self.last = Some(text);
        }
    }

    fn finish(&mut self, name: &MoveName, end: &MoveEnd) -> Exit {
        if let Some(bar) = &self.bar {
            bar.abandon();
        }
        let (word, exit) = match end.result {
            MoveResult::Done => ("done", Exit::Ok),
            MoveResult::TakenBack => ("taken back", Exit::TakenBack),
            MoveResult::Cancelled => ("cancelled", Exit::Failed),
        };
        if !self.output.is_json() {
            let at = time_text(end.at);
            let reason = match end.reason.as_str() {
                "" => String::new(),
                reason => format!(": {reason}"),
            };
            print_line(&format!("move {name} {word} at {at}{reason}"));
        }
        exit
    }
}

fn describe(progress: &MoveProgress) -> String {
    let share = percent(progress.share);
    let to = &progress.spec.to;
    let mut text = match progress.phase {
        MovePhase::Waiting => format!("waits until {}", time_text(progress.spec.start)),
        MovePhase::Moving => format!("{share} on {to}"),
        MovePhase::Watching => format!("{share} on {to}, still watched"),
        MovePhase::Stopped => format!(
            "{to} stopped: {}",
            progress.stop.as_deref().unwrap_or("no reason given")
        ),
        MovePhase::Ended => format!("ended with {share} on {to}"),
    };
    for row in &progress.evidence {
        text.push_str("; ");
        text.push_str(&evidence_text(row));
    }
    text
}

fn evidence_text(row: &VersionEvidence) -> String {
    let p95 = row
        .p95
        .map_or_else(String::new, |ms| format!(", p95 {ms} ms"));
    format!(
        "{} /{}: {} ok, {} failed{p95}",
        row.version, row.route, row.ok, row.failed
    )
}
