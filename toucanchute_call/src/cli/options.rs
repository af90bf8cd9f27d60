use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, builder::ValueParser, value_parser};

/// Returns the command that prints the address list.
pub(crate) fn addresses() -> Command {
    Command::new("addresses")
        .about("Prints the addresses that callers may use")
        .arg(router())
}

/// Returns the command that sends one completion.
pub(crate) fn complete() -> Command {
    let stream = Arg::new("stream")
        .long("stream")
        .action(ArgAction::SetTrue)
        .help("Stream the answer");
    caller(Command::new("complete"))
        .about("Asks a model for a chat completion")
        .arg(option("model", "NAME", "Model to ask").required(true))
        .arg(number("max-tokens", "Longest answer, in tokens", "512"))
        .arg(stream)
        .arg(Arg::new("PROMPT").required(true).help("The only message"))
}

/// Returns the command that calls a plain service once.
pub(crate) fn service() -> Command {
    let service = Arg::new("SERVICE")
        .required(true)
        .help("Name of the service");
    let path = Arg::new("PATH").required(true).help("Path at the service");
    let body = Arg::new("BODY").default_value("{}").help("JSON body");
    caller(Command::new("service"))
        .about("Calls a plain service")
        .arg(service)
        .arg(path)
        .arg(body)
}

/// Returns the command that runs a load.
pub(crate) fn load() -> Command {
    let many = |name, value, help| option(name, value, help).action(ArgAction::Append);
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check that answers of stand-ins are whole and each request's own");
    let customer = many(
        "customer",
        "TOKEN[:BUDGET]",
        "Customer; several draw evenly",
    )
    .required(true);
    tries(Command::new("load"))
        .about("Sends requests at random times whether or not earlier ones have ended")
        .arg(router())
        .arg(customer)
        .arg(many("model", "NAME", "Model to ask; several draw evenly"))
        .arg(many(
            "service",
            "NAME[:PRICE]",
            "Plain service to call, with its price in tokens",
        ))
        .arg(float("rate", "Mean arrivals a second", "10"))
        .arg(float("seconds", "Time in which requests arrive", "10"))
        .arg(number("seed", "Seed of arrivals, mix and prompts", "1"))
        .arg(number("prompt-bytes", "Length of a prompt", "200"))
        .arg(number("max-tokens", "Longest answer, in tokens", "64"))
        .arg(float(
            "stream-share",
            "Share of completions that are streamed",
            "0.5",
        ))
        .arg(
            option(
                "operator-token-file",
                "FILE",
                "Operators' token, to read statements",
            )
            .value_parser(value_parser!(PathBuf)),
        )
        .arg(check)
}

/// Adds the options shared by the commands that send one request.
fn caller(command: Command) -> Command {
    tries(command)
        .arg(router())
        .arg(
            option(
                "at",
                "IP:PORT",
                "Address of the first try, in place of one of the list",
            )
            .value_parser(value_parser!(SocketAddr)),
        )
        .arg(option(
            "key",
            "KEY",
            "Idempotency key; a fresh one if none is given",
        ))
        .arg(
            option(
                "deadline-ms",
                "MS",
                "Time within which the answer has to begin",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            option(
                "token-file",
                "FILE",
                "Bearer token, instead of TOUCANCHUTE_TOKEN",
            )
            .value_parser(value_parser!(PathBuf)),
        )
}

fn tries(command: Command) -> Command {
    let tries = option("tries", "N", "Most tries of a request, all under its key")
        .default_value("4")
        .value_parser(value_parser!(u32).range(1..));
    command.arg(tries)
}

fn router() -> Arg {
    option(
        "router",
        "IP:PORT",
        "Router to ask for addresses; several are tried in order",
    )
    .required(true)
    .action(ArgAction::Append)
    .value_delimiter(',')
    .value_parser(value_parser!(SocketAddr))
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    option(name, "N", help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn float(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    option(name, "N", help)
        .default_value(default)
        .value_parser(ValueParser::new(parse_float))
}

fn parse_float(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
        _ => Err("expected a number of at least 0".to_owned()),
    }
}
