use std::{
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use toucanchute_proto::api::{EngineOrder, EngineOrderKind, TopUp, WriteOff};

use crate::{
    commands,
    error::{Error, UsageSnafu},
    output::Output,
    routers::Routers,
};

/// Order to load a model.
const LOAD_MODEL: &str = "load-model";

/// Order to change the engine's role.
const CHANGE_ROLE: &str = "change-role";

/// Environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "TOUCANCTL_TOKEN";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused
  2  bad command line or files
  3  platform or routers cannot be reached
  4  another operator's configuration was accepted first";

/// Runs the command line of the current process.
#[must_use]
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let out = match matches.get_flag("json") {
        true => Output::Json,
        false => Output::Human,
    };
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match rt {
        Ok(rt) => rt.block_on(run(&matches, out)),
        Err(e) => UsageSnafu {
            message: e.to_string(),
        }
        .fail(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            e.exit().into()
        }
    }
}

async fn run(matches: &ArgMatches, out: Output) -> Result<(), Error> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "check" => check(args, out),
        "diff" => compare(args, out).await,
        "apply" => {
            let author = author(args);
            let expected = args.get_one("expect").copied();
            let platform = addresses(args, "platform");
            commands::apply_folder(path(args, "FOLDER"), platform, &author, expected, out).await
        }
        "status" => commands::status(&routers(args)?, out).await,
        "hosts" => commands::hosts(&routers(args)?, out).await,
        "statement" => commands::statement(&routers(args)?, text(args, "BUDGET"), out).await,
        "top-up" => {
            let top_up = TopUp {
                id: text(args, "id").to_owned(),
                budget: text(args, "BUDGET").to_owned(),
                tokens: args.get_one("TOKENS").copied().unwrap_or_default(),
            };
            commands::top_up(&routers(args)?, &top_up, out).await
        }
        "write-off" => {
            let write_off = WriteOff {
                budget: text(args, "BUDGET").to_owned(),
                grant: text(args, "GRANT").to_owned(),
            };
            commands::write_off(&routers(args)?, &write_off, out).await
        }
        "order" => {
            let order = EngineOrder {
                backend: text(args, "BACKEND").to_owned(),
                kind: match text(args, "KIND") {
                    LOAD_MODEL => EngineOrderKind::LoadModel,
                    _ => EngineOrderKind::ChangeRole,
                },
                model: text(args, "MODEL").to_owned(),
            };
            commands::order(&routers(args)?, &order, out).await
        }
        _ => Ok(()),
    }
}

fn check(args: &ArgMatches, out: Output) -> Result<(), Error> {
    if let Some(file) = args.get_one::<PathBuf>("settings") {
        commands::check_settings(file, out)?;
    }
    match args.get_one::<PathBuf>("FOLDER") {
        Some(folder) => commands::check_folder(folder, out),
        None => Ok(()),
    }
}

async fn compare(args: &ArgMatches, out: Output) -> Result<(), Error> {
    let folder = path(args, "FOLDER");
    match args.get_one::<PathBuf>("OTHER") {
        Some(other) => commands::compare(folder, other, out),
        None => commands::diff_platform(folder, addresses(args, "platform"), out).await,
    }
}

fn author(args: &ArgMatches) -> String {
    let named = args.get_one::<String>("author").cloned();
    let user = named.or_else(|| env::var("USER").ok());
    user.unwrap_or_else(|| "unknown".to_owned())
}

fn addresses(args: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let addresses = args.get_many::<SocketAddr>(name);
    addresses.into_iter().flatten().copied().collect()
}

fn routers(args: &ArgMatches) -> Result<Routers, Error> {
    let token = match args.get_one::<PathBuf>("token-file") {
        None => env::var(TOKEN_VARIABLE).unwrap_or_default(),
        Some(file) => read_token(file)?,
    };
    let message = format!("no operators' token; set {TOKEN_VARIABLE} or give --token-file");
    snafu::ensure!(!token.is_empty(), UsageSnafu { message });
    Ok(Routers {
        addresses: addresses(args, "router"),
        token,
    })
}

fn read_token(file: &Path) -> Result<String, Error> {
    match fs::read_to_string(file) {
        Ok(token) => Ok(token.trim().to_owned()),
        Err(e) => {
            let message = format!("cannot read token file {}: {e}", file.display());
            UsageSnafu { message }.fail()
        }
    }
}

fn path<'a>(args: &'a ArgMatches, name: &str) -> &'a Path {
    args.get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

// Command line

fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Write one JSON document instead of text");
    Command::new("toucanctl")
        .version(clap::crate_version!())
        .about("Operators' command line of toucanchute")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(json)
        .subcommand(check_command())
        .subcommand(diff_command())
        .subcommand(apply_command())
        .subcommand(router_command("status", "Prints the state of a router"))
        .subcommand(router_command("hosts", "Prints the known hosts"))
        .subcommand(
            router_command("statement", "Prints the statement of a budget")
                .arg(name("BUDGET", "Name of the budget")),
        )
        .subcommand(top_up_command())
        .subcommand(
            router_command("write-off", "Closes a forfeited grant as spent")
                .arg(name("BUDGET", "Name of the budget"))
                .arg(name("GRANT", "Identifier of the grant, from the statement")),
        )
        .subcommand(order_command())
}

fn order_command() -> Command {
    let kind = name("KIND", "What the engine has to do").value_parser([LOAD_MODEL, CHANGE_ROLE]);
    router_command("order", "Sends an order to a model engine")
        .arg(name("BACKEND", "Name of the backend server"))
        .arg(kind)
        .arg(name("MODEL", "Name of the model"))
}

fn check_command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Settings file of a router");
    Command::new("check")
        .about("Checks files without applying them")
        .arg(folder("FOLDER").required_unless_present("settings"))
        .arg(settings)
}

fn diff_command() -> Command {
    Command::new("diff")
        .about("Lists what differs from the configuration in force to a folder, or of two folders")
        .arg(folder("FOLDER").required(true))
        .arg(folder("OTHER").required_unless_present("platform"))
        .arg(platform().conflicts_with("OTHER"))
}

fn apply_command() -> Command {
    let author = Arg::new("author")
        .long("author")
        .value_name("NAME")
        .help("Who applies it, told to the loser of a race [default: USER]");
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Accept it only over this version; 0 for none");
    Command::new("apply")
        .about("Puts all files of a folder in force as a whole, or none of them")
        .arg(folder("FOLDER").required(true))
        .arg(platform().required(true))
        .arg(author)
        .arg(expect)
}

fn platform() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("Endpoint of the platform's key-value service; several are tried in turn")
}

fn top_up_command() -> Command {
    let tokens = Arg::new("TOKENS")
        .required(true)
        .value_parser(value_parser!(u64).range(1..))
        .help("Tokens to add");
    let id = Arg::new("id")
        .long("id")
        .value_name("ID")
        .required(true)
        .help("Names the top-up; sent again, the same one counts once");
    router_command("top-up", "Adds prepaid tokens to a budget")
        .arg(name("BUDGET", "Name of the budget"))
        .arg(tokens)
        .arg(id)
}

fn router_command(name: &'static str, about: &'static str) -> Command {
    let router = Arg::new("router")
        .long("router")
        .value_name("IP:PORT")
        .required(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("Router to ask; several are tried in order");
    let token = Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("File with the operators' token, instead of TOUCANCTL_TOKEN");
    Command::new(name).about(about).arg(router).arg(token)
}

fn folder(name: &'static str) -> Arg {
    Arg::new(name)
        .value_parser(value_parser!(PathBuf))
        .help("Folder of configuration files (*.ini)")
}

fn name(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}
