mod commands;
mod options;

use std::process::ExitCode;

use clap::{ArgAction, ArgMatches, Command};

use commands::Failure;

const EXIT_CODES: &str = "\
Exit codes:
  0  complete answer; for a load: nothing overspent, every answer whole, its own and run once
  1  refused; for a load: one of these does not hold
  2  bad command line
  3  no router answered";

/// Runs the command line of the current process.
#[must_use]
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let rt = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match rt {
        Ok(rt) => rt.block_on(run(&matches)),
        Err(e) => Err(Failure::Usage(e.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            failure.print(matches.get_flag("json"));
            failure.exit_code()
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let json = matches.get_flag("json");
    match matches.subcommand() {
        Some(("addresses", args)) => commands::addresses(args, json).await,
        Some(("complete", args)) => commands::complete(args, json).await,
        Some(("service", args)) => commands::service(args, json).await,
        Some(("load", args)) => commands::load(args, json).await,
        _ => Ok(()),
    }
}

fn command() -> Command {
    let json = clap::Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Write one JSON document instead of text");
    Command::new("toucanchute-call")
        .version(clap::crate_version!())
        .about("Reference caller and load tool of toucanchute")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(json)
        .subcommand(options::addresses())
        .subcommand(options::complete())
        .subcommand(options::service())
        .subcommand(options::load())
}
