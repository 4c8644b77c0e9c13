//! Watching of a move: receives its progress and displays it.

use std::io::IsTerminal;
use std::time::Duration;

use hawthornrack_lib::FULL_SHARE_PERMILLE;
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
use super::exit::ExitStatus;
use super::output::Output;
use super::output::format_percent;
use super::output::format_time;
use super::output::print_line;
use super::session::Client;
use super::session::Session;
use super::session::call_error;
use super::session::can_retry_elsewhere;

/// Time without a message after which the watch continues at another server; a server sends one at
/// least every 5 s (`PROGRESS_HEARTBEAT_INTERVAL` in hawthornrack-lib).
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without a progress message from any server after which the watch fails.
const WATCH_TIMEOUT: Duration = Duration::from_mins(1);

/// Time without a message during which a reply that the move does not exist is retried, because the
/// server may not have learnt yet of a move that another server accepted.
const NOT_FOUND_RETRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the watch is opened again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Template of the progress bar.
const BAR_TEMPLATE: &str = "{prefix} [{bar:30}] {msg}";

/// Watches a move until it ends; continues at another server if one becomes unreachable.
pub(crate) async fn watch(session: &mut Session, output: Output, name: &MoveName) -> CommandResult {
    let mut display = ProgressDisplay::new(output, name);
    let mut last_message = Instant::now();
    loop {
        let status = match watch_current(session, name, &mut display, &mut last_message).await {
            Ok(end) => return Ok(display.finish(name, &end)),
            Err(status) => status,
        };
        let since_last_message = last_message.elapsed();
        let lagging =
            status.code() == Code::NotFound && since_last_message < NOT_FOUND_RETRY_TIMEOUT;
        if !can_retry_elsewhere(&status) && !lagging {
            return Err(call_error(&status));
        }
        if since_last_message >= WATCH_TIMEOUT {
            let detail = format!(
                "no server has reported the progress of move {name} for {} s; last error: {}",
                WATCH_TIMEOUT.as_secs(),
                status.message()
            );
            return Err(CommandError::Unreachable(detail));
        }
        session.select_next();
        sleep(RETRY_DELAY).await;
    }
}

async fn watch_current(
    session: &mut Session,
    name: &MoveName,
    display: &mut ProgressDisplay,
    last_message: &mut Instant,
) -> Result<MoveEnd, Status> {
    let request = proto::WatchMoveRequest {
        name: name.to_string(),
    };
    let call = async |mut client: Client| client.watch_move(request.clone()).await;
    let mut stream = session.call_current(&call).await?;
    loop {
        let progress = receive_progress(&mut stream).await?;
        *last_message = Instant::now();
        display.update(&progress);
        if let Some(end) = progress.end {
            return Ok(end);
        }
    }
}

async fn receive_progress(
    stream: &mut Streaming<proto::MoveProgress>,
) -> Result<MoveProgress, Status> {
    let message = timeout(MESSAGE_TIMEOUT, stream.message())
        .await
        .map_err(|_elapsed| {
            let limit = MESSAGE_TIMEOUT.as_secs();
            Status::unavailable(format!("no message from the server within {limit} s"))
        })??;
    let message =
        message.ok_or_else(|| Status::unavailable("the server closed the progress stream"))?;
    MoveProgress::try_from(message).map_err(|error| Status::internal(error.to_string()))
}

/// Display of progress: a bar on a terminal, otherwise lines of text or JSON.
struct ProgressDisplay {
    output: Output,
    bar: Option<ProgressBar>,
    last_text: Option<String>,
}

impl ProgressDisplay {
    fn new(output: Output, name: &MoveName) -> Self {
        let terminal = std::io::stderr().is_terminal();
        let bar = (terminal && !output.is_json()).then(|| {
            let bar = ProgressBar::new(u64::from(FULL_SHARE_PERMILLE));
            if let Ok(style) = ProgressStyle::with_template(BAR_TEMPLATE) {
                bar.set_style(style);
            }
            bar.set_prefix(name.to_string());
            bar
        });
        Self {
            output,
            bar,
            last_text: None,
        }
    }

    fn update(&mut self, progress: &MoveProgress) {
        if self.output.is_json() {
            self.output.print(progress, |_| String::new());
            return;
        }
        let text = describe_progress(progress);
        if let Some(bar) = &self.bar {
            bar.set_position(u64::from(progress.share));
            bar.set_message(text);
        } else if self.last_text.as_ref() != Some(&text) {
            print_line(&text);
            self.last_text = Some(text);
        }
    }

    fn finish(&mut self, name: &MoveName, end: &MoveEnd) -> ExitStatus {
        if let Some(bar) = &self.bar {
            bar.abandon();
        }
        let (outcome, exit_status) = match end.result {
            MoveResult::Done => ("done", ExitStatus::Ok),
            MoveResult::TakenBack => ("taken back", ExitStatus::RolledBack),
            MoveResult::Cancelled => ("cancelled", ExitStatus::Failed),
        };
        if !self.output.is_json() {
            let at = format_time(end.at);
            let reason = match end.reason.as_str() {
                "" => String::new(),
                reason => format!(": {reason}"),
            };
            print_line(&format!("move {name} {outcome} at {at}{reason}"));
        }
        exit_status
    }
}

fn describe_progress(progress: &MoveProgress) -> String {
    let share = format_percent(progress.share);
    let to = &progress.spec.to;
    let mut text = match progress.phase {
        MovePhase::Waiting => format!("waits until {}", format_time(progress.spec.start)),
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
        text.push_str(&format_evidence(row));
    }
    text
}

fn format_evidence(row: &VersionEvidence) -> String {
    let p95 = row
        .p95_ms
        .map_or_else(String::new, |ms| format!(", p95 {ms} ms"));
    format!(
        "{} /{}: {} ok, {} failed{p95}",
        row.version, row.route, row.ok, row.failed
    )
}
