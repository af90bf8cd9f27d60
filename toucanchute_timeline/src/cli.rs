use std::{
    fs,
    io::{self, Write as _},
    path::PathBuf,
    process::ExitCode,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use snafu::ResultExt as _;

use crate::{
    error::{Error, OutputSnafu, ReadSnafu, WriteSnafu},
    filter::Filter,
    html::to_html,
    text::to_text,
    timeline::Timeline,
};

/// Exit code if a file cannot be read or written.
const EXIT_FILE_ERROR: u8 = 1;

/// Maximum number of skipped lines that are listed individually.
const MAX_LISTED_SKIPS: usize = 5;

/// Runs the program with the command line arguments of this process.
#[must_use]
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::from(EXIT_FILE_ERROR)
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), Error> {
    let mut timeline = Timeline::new();
    for path in matches.get_many::<PathBuf>("LOG").into_iter().flatten() {
        let content = fs::read(path).context(ReadSnafu { path })?;
        timeline.add(&path.display().to_string(), &content);
    }
    let events = timeline.events(&filter(matches));
    match matches.get_one::<PathBuf>("html") {
        Some(path) => fs::write(path, to_html(&events)).context(WriteSnafu { path })?,
        None => {
            let mut out = io::stdout().lock();
            out.write_all(to_text(&events).as_bytes())
                .context(OutputSnafu)?;
        }
    }
    report_skipped(&timeline);
    Ok(())
}

fn filter(matches: &ArgMatches) -> Filter {
    let mut filter = Filter::default();
    let get = |name: &str| matches.get_one::<String>(name);
    if let Some(key) = get("request") {
        filter = filter.request(key);
    }
    if let Some(name) = get("customer") {
        filter = filter.customer(name);
    }
    if let Some(name) = get("host") {
        filter = filter.host(name);
    }
    if let Some(name) = get("event") {
        filter = filter.event(name);
    }
    filter
}

/// Prints the number of skipped lines and the first of them to standard error.
fn report_skipped(timeline: &Timeline) {
    let skipped = timeline.skipped();
    if skipped.is_empty() {
        return;
    }
    eprintln!("skipped {} lines", skipped.len());
    for line in skipped.iter().take(MAX_LISTED_SKIPS) {
        eprintln!("  {line}");
    }
}

fn command() -> Command {
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    let log = Arg::new("LOG")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Event log files of processes");
    Command::new("toucanchute-timeline")
        .version(clap::crate_version!())
        .about("Merges the event logs of all processes into one causally ordered timeline")
        .after_help(
            "Exit codes: 0 success, 1 a file cannot be read or written, 2 invalid command line.",
        )
        .arg(log)
        .arg(option(
            "request",
            "KEY",
            "Only this request and its attempts; the first digits of the key suffice",
        ))
        .arg(option(
            "customer",
            "NAME",
            "Only events that name this customer",
        ))
        .arg(option("host", "NAME", "Only events of this host"))
        .arg(option("event", "NAME", "Only events with this name"))
        .arg(
            option(
                "html",
                "FILE",
                "Write an HTML page with a lane for each process instead of text",
            )
            .value_parser(value_parser!(PathBuf)),
        )
}
