//! Directives of callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use tokio::{sync::watch, task::JoinSet};

use super::{Args, Ask, Runner};
use crate::{
    caller::{Request, Work},
    cluster::CUSTOMER_TOKEN,
    error::{ArgumentSnafu, ScenarioError, TimedOutSnafu, UnknownSnafu},
    load::{Load, LoadOptions, Record, persist},
};

/// Longest answer unless the scenario says otherwise, in tokens.
const MAX_TOKENS: u64 = 64;
/// Price of a booking as configured, in tokens.
const BOOKING_PRICE: u64 = 20;
/// Price of a look-up as configured, in tokens.
const LOOK_UP_PRICE: u64 = 5;
/// Longest wait for progress, in seconds.
const BOUND_S: u64 = 60;
/// Pause between looks at a load's progress.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

impl Runner {
    /// Sends one request; in the background if it has a name.
    pub(super) async fn ask(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let key = args.text("key")?;
        let addresses = self.addresses(args)?;
        let work = match args.directive().as_str() {
            "ask" => Work::Completion {
                prompt: args
                    .optional("prompt")
                    .unwrap_or_else(|| format!("prompt of {key}")),
                max_tokens: args.number_or("max-tokens", MAX_TOKENS)?,
            },
            directive => service(directive),
        };
        let request = Request { key, work };
        if addresses.len() > 1 {
            return self.ask_each(request, &addresses).await;
        }
        let Some(&address) = addresses.first() else {
            return ArgumentSnafu {
                message: "`at` is missing",
            }
            .fail();
        };
        let name = args.optional("name");
        let (came, rx) = watch::channel(0);
        let sent = request.clone();
        let task = tokio::spawn(async move { sent.send(address, CUSTOMER_TOKEN, &came).await });
        let ask = Ask {
            request,
            task,
            came: rx,
        };
        match name {
            None => self.end(ask).await,
            Some(name) => {
                self.asks.insert(name, ask);
                Ok("sent".to_owned())
            }
        }
    }

    fn addresses(&self, args: &mut Args<'_>) -> Result<Vec<SocketAddr>, ScenarioError> {
        let cluster = self.cluster()?;
        let at = args.list("at");
        at.iter().map(|at| cluster.address(at)).collect()
    }

    /// Sends a request at several routers at once, at each again until its outcome is final.
    async fn ask_each(
        &mut self,
        request: Request,
        addresses: &[SocketAddr],
    ) -> Result<String, ScenarioError> {
        let mut tries = JoinSet::new();
        for &address in addresses {
            let request = request.clone();
            tries.spawn(async move { persist(&request, &[address], 0, CUSTOMER_TOKEN).await });
        }
        let mut facts = BTreeSet::new();
        for ended in tries.join_all().await {
            facts.insert(ended.to_string());
            let request = request.clone();
            self.records.push(Record { request, ended });
        }
        let facts: Vec<String> = facts.into_iter().collect();
        Ok(facts.join(", "))
    }

    async fn end(&mut self, ask: Ask) -> Result<String, ScenarioError> {
        let ended = ask.task.await;
        let ended = ended.map_err(|e| {
            ArgumentSnafu {
                message: e.to_string(),
            }
            .build()
        })?;
        let facts = ended.to_string();
        let request = ask.request;
        self.records.push(Record { request, ended });
        Ok(facts)
    }

    /// Waits until a number of tokens of a background request came.
    pub(super) async fn await_tokens(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        let tokens: u64 = args.number("tokens")?;
        let kind = "request in progress";
        let ask = self.asks.get_mut(&name);
        let ask = ask.ok_or_else(|| UnknownSnafu { kind, name: &name }.build())?;
        let arrival = ask.came.wait_for(|&came| came >= tokens);
        let arrival = tokio::time::timeout(Duration::from_secs(BOUND_S), arrival);
        match arrival.await {
            Ok(Ok(_)) => Ok("came".to_owned()),
            Ok(Err(_)) => Ok("ended before".to_owned()),
            Err(_) => {
                let what = format!("{tokens} tokens of {name}");
                let (seconds, seen) = (BOUND_S, "fewer");
                TimedOutSnafu {
                    what,
                    seconds,
                    seen,
                }
                .fail()
            }
        }
    }

    /// Waits for the end of a background request or load.
    pub(super) async fn join(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        if let Some(ask) = self.asks.remove(&name) {
            return self.end(ask).await;
        }
        let kind = "request or load in progress";
        let load = self.loads.remove(&name);
        let load = load.ok_or_else(|| UnknownSnafu { kind, name }.build())?;
        let records = load.finish().await;
        let facts = match args.flag("any") {
            true => "ended".to_owned(),
            false => summary(&records),
        };
        self.records.extend(records);
        Ok(facts)
    }

    pub(super) fn start_load(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        let addresses = self.addresses(args)?;
        let work = match args.optional("work") {
            Some(directive) => service(&directive),
            None => Work::Completion {
                prompt: "prompt of".to_owned(),
                max_tokens: args.number_or("max-tokens", MAX_TOKENS)?,
            },
        };
        let options = LoadOptions {
            name: name.clone(),
            addresses,
            token: CUSTOMER_TOKEN.to_owned(),
            workers: args.number("workers")?,
            pause: Duration::from_millis(args.number_or("pause-ms", 0)?),
            work,
        };
        self.loads.insert(name, Load::start(&options));
        Ok("started".to_owned())
    }

    /// Waits until a number of requests of a load have ended.
    pub(super) async fn until(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        let requests: usize = args.number("requests")?;
        let kind = "load in progress";
        let load = self.loads.get(&name);
        let load = load.ok_or_else(|| UnknownSnafu { kind, name: &name }.build())?;
        let target = load.count() + requests;
        self.cluster()?
            .wait_until(&format!("{requests} requests of {name}"), async |_| {
                let count = load.count();
                (count >= target)
                    .then_some(())
                    .ok_or(format!("{count} of {target}"))
            })
            .await?;
        tokio::time::sleep(LOOK_PAUSE).await;
        Ok("ended".to_owned())
    }
}

fn service(directive: &str) -> Work {
    let (service, price) = match directive {
        "book" => ("booking", BOOKING_PRICE),
        _ => ("lookup", LOOK_UP_PRICE),
    };
    Work::Service {
        service: service.to_owned(),
        price,
    }
}

/// Returns the ways in which requests ended; their numbers go to standard error.
fn summary(records: &[Record]) -> String {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for record in records {
        *counts.entry(record.ended.to_string()).or_default() += 1;
    }
    eprintln!("ended: {counts:?}");
    if records.is_empty() {
        return "no request ended".to_owned();
    }
    if records.iter().all(|record| record.ended.is_own()) {
        return "all whole".to_owned();
    }
    let ways: Vec<String> = counts.into_keys().collect();
    ways.join(", ")
}
