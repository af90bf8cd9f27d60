//! Command lines of the fakes' binaries.

use std::{
    error::Error, fmt::Display, future::pending, io, net::SocketAddr, path::PathBuf,
    process::ExitCode,
};

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use toucanchute_log::LogBuilder;

use crate::{
    Engine, EngineOptions, Fencing, Platform, PlatformOptions, Service, ServiceOptions,
    WeightOptions,
};

/// Exit code if the process could not start.
const EXIT_START_FAILED: u8 = 1;

/// Runs the binary of the fake platform.
#[must_use]
pub fn platform_main() -> ExitCode {
    let defaults = PlatformOptions::default();
    let cmd = command("toucanchute-fake-platform", "platform")
        .about("Fake of the platform's key-value service, host list and weight store")
        .arg(number_arg(
            "max-value-bytes",
            "Maximum size of a value, in bytes",
            defaults.max_value_bytes,
        ))
        .arg(number_arg(
            "host-lag-ms",
            "Delay until a change of the host list is visible, in milliseconds",
            defaults.host_lag_ms,
        ))
        .arg(number_arg(
            "writes-per-second",
            "Maximum number of writes per second; 0 for no limit",
            defaults.writes_per_second,
        ))
        .arg(number_arg(
            "reads-per-second",
            "Maximum number of reads per second; 0 for no limit",
            defaults.reads_per_second,
        ));
    let matches = cmd.get_matches();
    let options = PlatformOptions {
        max_value_bytes: number_value(&matches, "max-value-bytes", defaults.max_value_bytes as u64)
            as usize,
        history: defaults.history,
        host_lag_ms: number_value(&matches, "host-lag-ms", defaults.host_lag_ms),
        writes_per_second: number_value(
            &matches,
            "writes-per-second",
            defaults.writes_per_second.into(),
        ) as u32,
        reads_per_second: number_value(
            &matches,
            "reads-per-second",
            defaults.reads_per_second.into(),
        ) as u32,
        weights: WeightOptions::default(),
    };
    run_server(&matches, "fake-platform", async |address| {
        let platform = Platform::bind(address, options).await?;
        let address = platform.address();
        Ok((platform, address))
    })
}

/// Runs the binary of the fake model engine.
#[must_use]
pub fn engine_main() -> ExitCode {
    let defaults = EngineOptions::default();
    let cmd = command("toucanchute-fake-engine", "engine")
        .about("Fake of a model engine")
        .arg(
            Arg::new("model")
                .long("model")
                .value_name("NAME")
                .action(clap::ArgAction::Append)
                .help("Model to serve; all models if none is given"),
        )
        .arg(
            Arg::new("fencing")
                .long("fencing")
                .value_parser(PossibleValuesParser::new(["checked", "ignored"]))
                .default_value("checked")
                .help("Whether orders with an outdated fencing number are refused"),
        )
        .arg(number_arg(
            "first-token-ms",
            "Time to the first token, in milliseconds",
            defaults.first_token_ms,
        ))
        .arg(number_arg(
            "block-ms",
            "Additional time for each prompt block that is not cached, in milliseconds",
            defaults.block_ms,
        ))
        .arg(number_arg(
            "token-ms",
            "Time between tokens, in milliseconds",
            defaults.token_ms,
        ))
        .arg(number_arg(
            "capacity",
            "Maximum number of concurrent runs",
            defaults.capacity,
        ))
        .arg(number_arg(
            "queue",
            "Maximum number of waiting runs",
            defaults.queue,
        ))
        .arg(number_arg(
            "max-tokens",
            "Maximum length of an answer, in tokens",
            defaults.max_tokens,
        ))
        .arg(number_arg(
            "answer-tokens",
            "Mean length of an answer, in tokens",
            defaults.answer_tokens,
        ))
        .arg(number_arg(
            "cache-blocks",
            "Capacity of the cache, in prompt blocks",
            defaults.cache_blocks,
        ))
        .arg(number_arg(
            "load-lag-ms",
            "Age of load reports, in milliseconds",
            defaults.load_lag_ms,
        ))
        .arg(number_arg(
            "event-lag-ms",
            "Delay until a cache event is visible, in milliseconds",
            defaults.event_lag_ms,
        ))
        .arg(number_arg(
            "event-gap",
            "Drops each cache event whose number is a multiple of this; 0 drops none",
            defaults.event_gap,
        ));
    let matches = cmd.get_matches();
    let models = matches.get_many::<String>("model").into_iter().flatten();
    let fencing = match matches.get_one::<String>("fencing").map(String::as_str) {
        Some("ignored") => Fencing::Ignored,
        _ => Fencing::Checked,
    };
    let options = EngineOptions {
        name: name_value(&matches),
        models: models.cloned().collect(),
        first_token_ms: number_value(&matches, "first-token-ms", defaults.first_token_ms),
        block_ms: number_value(&matches, "block-ms", defaults.block_ms),
        token_ms: number_value(&matches, "token-ms", defaults.token_ms),
        capacity: number_value(&matches, "capacity", defaults.capacity as u64) as usize,
        queue: number_value(&matches, "queue", defaults.queue as u64) as usize,
        max_tokens: number_value(&matches, "max-tokens", defaults.max_tokens),
        answer_tokens: number_value(&matches, "answer-tokens", defaults.answer_tokens),
        cache_blocks: number_value(&matches, "cache-blocks", defaults.cache_blocks as u64) as usize,
        load_lag_ms: number_value(&matches, "load-lag-ms", defaults.load_lag_ms),
        event_lag_ms: number_value(&matches, "event-lag-ms", defaults.event_lag_ms),
        event_gap: number_value(&matches, "event-gap", defaults.event_gap),
        fencing,
    };
    run_server(&matches, "fake-engine", async |address| {
        let engine = Engine::bind(address, options).await?;
        let address = engine.address();
        Ok((engine, address))
    })
}

/// Runs the binary of the fake service.
#[must_use]
pub fn service_main() -> ExitCode {
    let defaults = ServiceOptions::default();
    let cmd = command("toucanchute-fake-service", "service")
        .about("Fake of a service such as booking")
        .arg(number_arg(
            "work-ms",
            "Duration of a call, in milliseconds",
            defaults.work_ms,
        ));
    let matches = cmd.get_matches();
    let options = ServiceOptions {
        name: name_value(&matches),
        work_ms: number_value(&matches, "work-ms", defaults.work_ms),
    };
    run_server(&matches, "fake-service", async |address| {
        let service = Service::bind(address, options).await?;
        let address = service.address();
        Ok((service, address))
    })
}

fn command(command: &'static str, default_name: &'static str) -> Command {
    Command::new(command)
        .version(clap::crate_version!())
        .after_help("Exit codes: 0 stopped, 1 failed to start, 2 invalid command line.")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("Address to listen on; port 0 selects a free port"),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .value_name("NAME")
                .default_value(default_name)
                .help("Host name in log lines"),
        )
        .arg(
            Arg::new("log-file")
                .long("log-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Appends the event log to FILE instead of standard error"),
        )
}

fn number_arg(name: &'static str, help: &'static str, default: impl Display) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(format!("{help} [default: {default}]"))
}

fn number_value(matches: &ArgMatches, name: &str, default: u64) -> u64 {
    matches.get_one(name).copied().unwrap_or(default)
}

fn name_value(matches: &ArgMatches) -> String {
    matches.get_one("name").cloned().unwrap_or_default()
}

/// Installs the log, starts a server and runs it until the process is killed.
fn run_server<S>(
    matches: &ArgMatches,
    process: &str,
    bind: impl AsyncFnOnce(SocketAddr) -> io::Result<(S, SocketAddr)>,
) -> ExitCode {
    match try_run_server(matches, process, bind) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn try_run_server<S>(
    matches: &ArgMatches,
    process: &str,
    bind: impl AsyncFnOnce(SocketAddr) -> io::Result<(S, SocketAddr)>,
) -> Result<(), Box<dyn Error>> {
    let mut log_builder = LogBuilder::new(process).host(&name_value(matches));
    if let Some(path) = matches.get_one::<PathBuf>("log-file") {
        log_builder = log_builder.file(path);
    }
    log_builder.install()?;
    let Some(&listen) = matches.get_one::<SocketAddr>("listen") else {
        return Err("--listen is required".into());
    };
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    rt.block_on(async {
        let (_server, address) = bind(listen).await?;
        println!("listening on {address}");
        log::info!(address:% = address; "started");
        pending::<()>().await;
        Ok(())
    })
}
