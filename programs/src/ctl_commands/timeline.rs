//! The `timeline` subcommand.

use argh::FromArgs;
use hawthornrack_lib::Event;
use hawthornrack_lib::Timeline;
use hawthornrack_lib::TimelineFilter;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::operator_proto as proto;

use super::arguments::When;
use super::arguments::now;
use super::arguments::parse_when;
use super::exit::CommandResult;
use super::exit::Exit;
use super::output::Output;
use super::output::table;
use super::output::time_text;
use super::session::Client;
use super::session::Session;

/// Shows the events of all processes in one causal order.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --id advisor-v2 --since 10m \\
    --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct TimelineCommand {
    /// only events of this request, move, lease, endpoint or other identifier
    #[argh(option)]
    id: Option<String>,
    /// only events since then: a distance from now, as in 10m, or a time (UTC)
    #[argh(option, from_str_fn(parse_when))]
    since: Option<When>,
    /// newest events to show (default 1000)
    #[argh(option, default = "DEFAULT_LIMIT")]
    limit: usize,
}

/// Events shown when no number is asked for.
const DEFAULT_LIMIT: usize = 1000;

impl TimelineCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let filter = TimelineFilter {
            id: self.id,
            from: self.since.map_or(Timestamp(0), |since| since.before(now())),
            limit: self.limit,
        };
        let request = proto::TimelineRequest::from(&filter);
        let call = async |mut client: Client| client.timeline(request.clone()).await;
        let timeline = Timeline::from(session.call(call).await?);
        output.show(&timeline, render);
        Ok(Exit::Ok)
    }
}

fn render(timeline: &Timeline) -> String {
    let mut table = table(&["time", "process", "event", "fields"]);
    for event in &timeline.events {
        let time = time_text(event.time.wall);
        table.add_row([
            time,
            event.process.clone(),
            event.what.clone(),
            fields_text(event),
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

fn fields_text(event: &Event) -> String {
    let fields = event.fields.iter();
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    fields.join(" ")
}
