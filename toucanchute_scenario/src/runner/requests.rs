//! Directives that send requests of callers and wait for them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use tokio::{sync::watch, task::JoinSet};

use super::{Args, PendingRequest, Runner};
use crate::{
    caller::{Operation, Request},
    cluster::CUSTOMER_TOKEN,
    error::{InvalidArgumentSnafu, ScenarioError, TimedOutSnafu, UnknownSnafu},
    load::{Load, LoadOptions, Record, send_with_retries},
};

/// Maximum length of an answer if the directive does not set it, in tokens.
const DEFAULT_MAX_TOKENS: u64 = 64;
/// Price of a booking in the configuration, in tokens.
const BOOKING_PRICE: u64 = 20;
/// Price of a look-up in the configuration, in tokens.
const LOOK_UP_PRICE: u64 = 5;
/// Timeout of waiting for tokens of a background request, in seconds.
const PROGRESS_TIMEOUT_S: u64 = 60;
/// Pause after the awaited number of requests has ended.
const PROGRESS_PAUSE: Duration = Duration::from_millis(20);

impl Runner {
    /// Sends one request, in the background if it has a name.
    pub(super) async fn send_request(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let key = args.text("key")?;
        let addresses = self.addresses(args)?;
        let operation = match args.directive().as_str() {
            "complete" => Operation::Completion {
                prompt: args
                    .optional("prompt")
                    .unwrap_or_else(|| format!("prompt of {key}")),
                max_tokens: args.number_or("max-tokens", DEFAULT_MAX_TOKENS)?,
            },
            directive => service_call(directive),
        };
        let request = Request { key, operation };
        if addresses.len() > 1 {
            return self.send_to_each(request, &addresses).await;
        }
        let Some(&address) = addresses.first() else {
            return InvalidArgumentSnafu {
                message: "`at` is required",
            }
            .fail();
        };
        let name = args.optional("name");
        let (tokens_received, rx) = watch::channel(0);
        let sent_request = request.clone();
        let task = tokio::spawn(async move {
            sent_request
                .send(address, CUSTOMER_TOKEN, &tokens_received)
                .await
        });
        let pending = PendingRequest {
            request,
            task,
            tokens_received: rx,
        };
        match name {
            None => self.finish_request(pending).await,
            Some(name) => {
                self.pending_requests.insert(name, pending);
                Ok("sent".to_owned())
            }
        }
    }

    fn addresses(&self, args: &mut Args<'_>) -> Result<Vec<SocketAddr>, ScenarioError> {
        let cluster = self.cluster()?;
        let at = args.list("at");
        at.iter().map(|at| cluster.address(at)).collect()
    }

    /// Sends a request to several routers concurrently, and retries it at each of them until its
    /// outcome is final.
    async fn send_to_each(
        &mut self,
        request: Request,
        addresses: &[SocketAddr],
    ) -> Result<String, ScenarioError> {
        let mut attempts = JoinSet::new();
        for &address in addresses {
            let request = request.clone();
            attempts.spawn(async move {
                send_with_retries(&request, &[address], 0, CUSTOMER_TOKEN).await
            });
        }
        let mut output = BTreeSet::new();
        for outcome in attempts.join_all().await {
            output.insert(outcome.to_string());
            let request = request.clone();
            self.records.push(Record { request, outcome });
        }
        let output: Vec<String> = output.into_iter().collect();
        Ok(output.join(", "))
    }

    async fn finish_request(&mut self, pending: PendingRequest) -> Result<String, ScenarioError> {
        let outcome = pending.task.await;
        let outcome = outcome.map_err(|e| {
            InvalidArgumentSnafu {
                message: e.to_string(),
            }
            .build()
        })?;
        let output = outcome.to_string();
        let request = pending.request;
        self.records.push(Record { request, outcome });
        Ok(output)
    }

    /// Waits until a number of tokens of a background request has been received.
    pub(super) async fn await_tokens(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        let tokens: u64 = args.number("tokens")?;
        let kind = "request in progress";
        let pending = self.pending_requests.get_mut(&name);
        let pending = pending.ok_or_else(|| UnknownSnafu { kind, name: &name }.build())?;
        let received = pending
            .tokens_received
            .wait_for(|&tokens_received| tokens_received >= tokens);
        let received = tokio::time::timeout(Duration::from_secs(PROGRESS_TIMEOUT_S), received);
        match received.await {
            Ok(Ok(_)) => Ok("received".to_owned()),
            Ok(Err(_)) => Ok("ended earlier".to_owned()),
            Err(_) => {
                let condition = format!("{tokens} tokens of {name}");
                let (seconds, observed) = (PROGRESS_TIMEOUT_S, "fewer");
                TimedOutSnafu {
                    condition,
                    seconds,
                    observed,
                }
                .fail()
            }
        }
    }

    /// Waits for the end of a background request, or stops a load.
    pub(super) async fn join(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        if let Some(pending) = self.pending_requests.remove(&name) {
            return self.finish_request(pending).await;
        }
        let kind = "request or load in progress";
        let load = self.loads.remove(&name);
        let load = load.ok_or_else(|| UnknownSnafu { kind, name }.build())?;
        let records = load.finish().await;
        let output = match args.flag("any-outcome") {
            true => "ended".to_owned(),
            false => summarize(&records),
        };
        self.records.extend(records);
        Ok(output)
    }

    pub(super) fn start_load(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        let addresses = self.addresses(args)?;
        let operation = match args.optional("operation") {
            Some(directive) => service_call(&directive),
            None => Operation::Completion {
                prompt: "prompt of".to_owned(),
                max_tokens: args.number_or("max-tokens", DEFAULT_MAX_TOKENS)?,
            },
        };
        let options = LoadOptions {
            name: name.clone(),
            addresses,
            token: CUSTOMER_TOKEN.to_owned(),
            workers: args.number("workers")?,
            pause: Duration::from_millis(args.number_or("pause-ms", 0)?),
            operation,
        };
        self.loads.insert(name, Load::start(&options));
        Ok("started".to_owned())
    }

    /// Waits until a number of further requests of a load have ended.
    pub(super) async fn await_requests(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let name = args.text("name")?;
        let requests: usize = args.number("requests")?;
        let kind = "load in progress";
        let load = self.loads.get(&name);
        let load = load.ok_or_else(|| UnknownSnafu { kind, name: &name }.build())?;
        let target = load.completed_count() + requests;
        self.cluster()?
            .wait_until(&format!("{requests} requests of {name}"), async |_| {
                let count = load.completed_count();
                (count >= target)
                    .then_some(())
                    .ok_or(format!("{count} of {target}"))
            })
            .await?;
        tokio::time::sleep(PROGRESS_PAUSE).await;
        Ok("ended".to_owned())
    }
}

fn service_call(directive: &str) -> Operation {
    let (service, price) = match directive {
        "book" => ("booking", BOOKING_PRICE),
        _ => ("lookup", LOOK_UP_PRICE),
    };
    Operation::ServiceCall {
        service: service.to_owned(),
        price,
    }
}

/// Returns the distinct outcomes of requests. Their counts are written to standard error.
fn summarize(records: &[Record]) -> String {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for record in records {
        *counts.entry(record.outcome.to_string()).or_default() += 1;
    }
    eprintln!("outcomes: {counts:?}");
    if records.is_empty() {
        return "no request ended".to_owned();
    }
    if records.iter().all(|record| record.outcome.is_correct()) {
        return "all complete".to_owned();
    }
    let outcomes: Vec<String> = counts.into_keys().collect();
    outcomes.join(", ")
}
