use clap::ArgMatches;
use snafu::ResultExt;
use toucanchute_log::LogBuilder;
use toucanchute_proto::{
    Incarnation,
    settings::{LogLevel, RouterSettings},
};
use toucanchute_settings::{load_gateway, load_router};

use crate::{
    cli, gateway,
    output::{LogSnafu, RunError, RuntimeSnafu, SettingsSnafu},
    server,
};

/// Runs the subcommand that the command line names, or else a router. A router or gateway runs
/// until its graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the process cannot start.
pub fn run(matches: &ArgMatches) -> Result<(), RunError> {
    if let Some((cli::CHECK_COMMAND, matches)) = matches.subcommand() {
        return check_settings(matches);
    }
    if let Some((cli::GATEWAY_COMMAND, matches)) = matches.subcommand() {
        return gateway::run(cli::settings_path(matches));
    }
    let settings = load_router(&cli::settings_path(matches)).context(SettingsSnafu)?;
    let incarnation = Incarnation(rand::random());
    install_log(&settings, incarnation)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime
        .context(RuntimeSnafu)?
        .block_on(server::serve(settings, incarnation))
}

fn check_settings(matches: &ArgMatches) -> Result<(), RunError> {
    let path = cli::settings_path(matches);
    let host = match matches.get_flag(cli::GATEWAY_FLAG) {
        true => load_gateway(&path).context(SettingsSnafu)?.router.host,
        false => load_router(&path).context(SettingsSnafu)?.router.host,
    };
    println!("{}: settings of host {host} are valid", path.display());
    Ok(())
}

fn install_log(settings: &RouterSettings, incarnation: Incarnation) -> Result<(), RunError> {
    let level = level_filter(settings.log.level);
    let setup = LogBuilder::new("router")
        .host(&settings.router.host)
        .incarnation(incarnation);
    let setup = setup.level(level);
    let setup = match &settings.log.file {
        Some(file) => setup.file(file.as_ref()),
        None => setup,
    };
    setup.install().context(LogSnafu)
}

/// Converts the log level of the settings.
pub(crate) fn level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}
