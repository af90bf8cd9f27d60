use std::{
    env, fs,
    io::{self, Write as _},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::ArgMatches;
use serde_json::{Value, json};

use crate::{
    answer::Answer,
    caller::{Caller, CallerOptions},
    error::{CallError, LoadError},
    load::{LoadCustomer, LoadOptions, LoadService, run_load},
    request::Request,
};

/// Environment variable that holds the bearer token.
const TOKEN_VARIABLE: &str = "TOUCANCHUTE_TOKEN";

/// Reason why a command failed.
pub(crate) enum Failure {
    /// The command line, or a file that it names, is invalid.
    Usage(String),
    /// A request failed without an answer.
    Call(CallError),
    /// The report of a load shows overspent budgets or wrong answers.
    LoadChecks,
}

impl Failure {
    /// Prints the error to standard error; with `json`, a failed call also to standard output.
    pub(crate) fn print(&self, json: bool) {
        match self {
            Failure::Usage(message) => eprintln!("error: {message}"),
            Failure::LoadChecks => eprintln!("error: load checks failed; see the report"),
            Failure::Call(e) => {
                eprintln!("error: {e}");
                if json {
                    println!("{}", error_json(e));
                }
            }
        }
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::LoadChecks | Failure::Call(CallError::Refused { .. }) => 1,
            Failure::Usage(_) => 2,
            Failure::Call(_) => 3,
        })
    }
}

/// Prints the address list.
pub(crate) async fn addresses(args: &ArgMatches, json: bool) -> Result<(), Failure> {
    let caller = Caller::new(routers(args), "", CallerOptions::default());
    let list = caller.addresses().await.map_err(Failure::Call)?;
    if json {
        println!("{}", json!({ "addresses": list }));
    } else {
        list.iter().for_each(|address| println!("{address}"));
    }
    Ok(())
}

/// Sends one completion and prints its answer.
pub(crate) async fn complete(args: &ArgMatches, json: bool) -> Result<(), Failure> {
    let max_tokens = value_or(args, "max-tokens", 0_u64);
    let mut req = Request::completion(text(args, "model"), text(args, "PROMPT"), max_tokens);
    if args.get_flag("stream") {
        req = req.streamed();
    }
    send_and_print(args, req, json).await
}

/// Calls a plain service once and prints its answer.
pub(crate) async fn service(args: &ArgMatches, json: bool) -> Result<(), Failure> {
    let path = format!("/{}", text(args, "PATH").trim_start_matches('/'));
    let body = text(args, "BODY").to_owned();
    let req = Request::service(text(args, "SERVICE"), &path, body);
    send_and_print(args, req, json).await
}

/// Runs a load and prints its report.
pub(crate) async fn load(args: &ArgMatches, json: bool) -> Result<(), Failure> {
    let options = load_options(args)?;
    let report = run_load(&options).await.map_err(load_failure)?;
    if json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print!("{report}");
    }
    match report.passes_checks() {
        true => Ok(()),
        false => Err(Failure::LoadChecks),
    }
}

fn load_failure(err: LoadError) -> Failure {
    match err {
        LoadError::FetchAddresses { source } => Failure::Call(source),
        LoadError::Histogram { .. } => Failure::Usage(err.to_string()),
    }
}

async fn send_and_print(args: &ArgMatches, mut req: Request, json: bool) -> Result<(), Failure> {
    if let Some(&ms) = args.get_one("deadline-ms") {
        req = req.deadline(ms);
    }
    let caller = Caller::new(routers(args), &token(args)?, caller_options(args));
    let key = match args.get_one::<String>("key") {
        Some(key) => key.clone(),
        None => {
            req = req.fresh_key();
            format!("{:032x}", rand::random::<u128>())
        }
    };
    let mut print_piece = |piece: &str| {
        if !json {
            print!("{piece}");
            let _ = io::stdout().flush();
        }
    };
    let answer = caller.send_with(&req, &key, &mut print_piece).await;
    let answer = answer.map_err(Failure::Call)?;
    if json {
        println!("{}", answer_json(&answer, &key));
    } else {
        println!();
    }
    Ok(())
}

fn answer_json(answer: &Answer, key: &str) -> Value {
    json!({
        "status": answer.status,
        "address": answer.address,
        "key": key,
        "request": answer.logged_key,
        "tries": answer.tries,
        "text": answer.text,
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.completion_tokens,
        "first_ms": answer.timing.first_token.as_secs_f64() * 1_000.0,
        "whole_ms": answer.timing.total.as_secs_f64() * 1_000.0,
    })
}

fn error_json(err: &CallError) -> Value {
    json!({
        "error": err.to_string(),
        "reason": err.reason(),
        "outcome": err.outcome().to_string(),
    })
}

// Arguments

fn load_options(args: &ArgMatches) -> Result<LoadOptions, Failure> {
    let operator_token = match args.get_one::<PathBuf>("operator-token-file") {
        Some(file) => Some(read_token(file)?),
        None => None,
    };
    let options = LoadOptions {
        seeds: routers(args),
        customers: texts(args, "customer")
            .iter()
            .map(|c| customer(c))
            .collect(),
        models: texts(args, "model"),
        services: services(args)?,
        rate: value_or(args, "rate", 0.0),
        duration: Duration::try_from_secs_f64(value_or(args, "seconds", 0.0)).unwrap_or_default(),
        seed: value_or(args, "seed", 0),
        run_id: rand::random(),
        prompt_bytes: value_or(args, "prompt-bytes", 0_u64) as usize,
        max_tokens: value_or(args, "max-tokens", 0),
        stream_share: value_or(args, "stream-share", 0.0),
        check: args.get_flag("check"),
        caller: caller_options(args),
        operator_token,
    };
    if options.models.is_empty() && options.services.is_empty() {
        return Err(Failure::Usage("give --model or --service".to_owned()));
    }
    if options.rate <= 0.0 {
        return Err(Failure::Usage("--rate has to be above 0".to_owned()));
    }
    Ok(options)
}

fn services(args: &ArgMatches) -> Result<Vec<LoadService>, Failure> {
    let service = |text: &String| {
        let (name, price) = text.split_once(':').unwrap_or((text, "0"));
        let bad = |_| Failure::Usage(format!("--service {text}: expected NAME or NAME:PRICE"));
        Ok(LoadService {
            name: name.to_owned(),
            price: price.parse().map_err(bad)?,
        })
    };
    texts(args, "service").iter().map(service).collect()
}

fn customer(text: &str) -> LoadCustomer {
    let (token, budget) = text.split_once(':').unwrap_or((text, ""));
    LoadCustomer {
        token: token.to_owned(),
        budget: budget.to_owned(),
    }
}

fn caller_options(args: &ArgMatches) -> CallerOptions {
    CallerOptions {
        max_tries: value_or(args, "tries", 1),
        first_address: args.try_get_one("at").ok().flatten().copied(),
        ..CallerOptions::default()
    }
}

fn token(args: &ArgMatches) -> Result<String, Failure> {
    if let Some(file) = args.get_one::<PathBuf>("token-file") {
        return read_token(file);
    }
    env::var(TOKEN_VARIABLE).map_err(|_| {
        Failure::Usage(format!(
            "no token; set {TOKEN_VARIABLE} or give --token-file"
        ))
    })
}

fn read_token(file: &Path) -> Result<String, Failure> {
    let token = fs::read_to_string(file);
    let token = token
        .map_err(|e| Failure::Usage(format!("cannot read token file {}: {e}", file.display())))?;
    Ok(token.trim().to_owned())
}

fn routers(args: &ArgMatches) -> Vec<SocketAddr> {
    let routers = args.get_many::<SocketAddr>("router");
    routers.into_iter().flatten().copied().collect()
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

fn texts(args: &ArgMatches, name: &str) -> Vec<String> {
    let values = args.get_many::<String>(name);
    values.into_iter().flatten().cloned().collect()
}

fn value_or<T: Copy + Send + Sync + 'static>(args: &ArgMatches, name: &str, default: T) -> T {
    args.get_one(name).copied().unwrap_or(default)
}
