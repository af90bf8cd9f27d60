use clap::{Arg, ArgMatches, Command, builder::PathBufValueParser};

/// Name of the option that holds the settings file.
pub(crate) const SETTINGS: &str = "settings";

/// Name of the subcommand that checks settings and starts nothing.
pub(crate) const CHECK: &str = "check";

/// Builds the command line of `toucanchute-router`.
#[must_use]
pub fn command() -> Command {
    Command::new("toucanchute-router")
        .version(clap::crate_version!())
        .about("Routes requests to model engines and plain services within prepaid token budgets")
        .after_help("Exit codes: 0 left gracefully, 1 failed to start or run, 2 settings refused.")
        .args_conflicts_with_subcommands(true)
        .arg(settings_arg())
        .subcommand(
            Command::new(CHECK)
                .about("Checks the settings and exits without starting")
                .arg(settings_arg()),
        )
}

fn settings_arg() -> Arg {
    Arg::new(SETTINGS)
        .long("settings")
        .value_name("FILE")
        .help("INI file with the settings of this process")
        .required(true)
        .value_parser(PathBufValueParser::new())
}

/// Returns the path of the settings file.
pub(crate) fn settings_path(matches: &ArgMatches) -> std::path::PathBuf {
    matches.get_one(SETTINGS).cloned().unwrap_or_default()
}
