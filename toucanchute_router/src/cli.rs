use clap::{Arg, ArgAction, ArgMatches, Command, builder::PathBufValueParser};

/// Name of the option with the path of the settings file.
pub(crate) const SETTINGS_OPTION: &str = "settings";

/// Name of the subcommand that validates the settings and exits.
pub(crate) const CHECK_COMMAND: &str = "check";

/// Name of the subcommand that runs a gateway on the users' platform.
pub(crate) const GATEWAY_COMMAND: &str = "gateway";

/// Name of the flag that makes `check` read the file as settings of a gateway.
pub(crate) const GATEWAY_FLAG: &str = "gateway";

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
            Command::new(CHECK_COMMAND)
                .about("Checks the settings and exits without starting")
                .arg(settings_arg())
                .arg(
                    Arg::new(GATEWAY_FLAG)
                        .long("gateway")
                        .help("Reads the file as the settings of a gateway")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(
            Command::new(GATEWAY_COMMAND)
                .about("Passes requests through to services, by the routes in the platform's store")
                .arg(settings_arg()),
        )
}

fn settings_arg() -> Arg {
    Arg::new(SETTINGS_OPTION)
        .long("settings")
        .value_name("FILE")
        .help("INI file with the settings of this process")
        .required(true)
        .value_parser(PathBufValueParser::new())
}

/// Returns the path of the settings file.
pub(crate) fn settings_path(matches: &ArgMatches) -> std::path::PathBuf {
    matches
        .get_one(SETTINGS_OPTION)
        .cloned()
        .unwrap_or_default()
}
