//! The `timeline` subcommand.

use argh::FromArgs;
use hawthornrack_lib::Event;
use hawthornrack_lib::Timeline;
use hawthornrack_lib::TimelineFilter;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::operator_proto as proto;

use super::arguments::TimeArg;
use super::arguments::now;
use super::arguments::parse_time_arg;
use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::output::format_time;
use super::output::new_table;
use super::session::Client;
use super::session::Session;

/// Shows the events of all processes in causal order.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --id advisor-v2 --since 10m \\
    --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct TimelineCommand {
    /// show only events with this identifier (of a request, move, lease, endpoint or other object)
    #[argh(option)]
    id: Option<String>,
    /// show only events since this time: a duration before now, as in 10m, or a UTC time
    #[argh(option, from_str_fn(parse_time_arg))]
    since: Option<TimeArg>,
    /// show at most this many of the newest events (default 1000)
    #[argh(option, default = "DEFAULT_LIMIT")]
    limit: usize,
}

/// Default maximum number of events shown.
const DEFAULT_LIMIT: usize = 1000;

impl TimelineCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let filter = TimelineFilter {
            id: self.id,
            from: self
                .since
                .map_or(Timestamp(0), |since| since.resolve_past(now())),
            limit: self.limit,
        };
        let request = proto::TimelineRequest::from(&filter);
        let call = async |mut client: Client| client.timeline(request.clone()).await;
        let timeline = Timeline::from(session.call(call).await?);
        output.print(&timeline, render);
        Ok(ExitStatus::Ok)
    }
}

fn render(timeline: &Timeline) -> String {
    let mut table = new_table(&["time", "process", "event", "fields"]);
    for event in &timeline.events {
        let time = format_time(event.time.wall);
        table.add_row([
            time,
            event.process.clone(),
            event.what.clone(),
            format_fields(event),
        ]);
    }
    let mut text = table.trim_fmt();
    if !timeline.missing.is_empty() {
        let missing = timeline.missing.join(", ");
        text.push_str("\n\nno events could be read from ");
        text.push_str(&missing);
    }
    text
}

fn format_fields(event: &Event) -> String {
    let fields = event.fields.iter();
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    fields.join(" ")
}
