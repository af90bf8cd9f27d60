mod args;
mod checks;
mod control;
mod requests;
mod storm;

use std::{collections::BTreeMap, path::Path, path::PathBuf};

use datadriven::TestCase;
use tokio::{runtime::Runtime, sync::watch, task::JoinHandle};

use self::args::Args;
use crate::{
    answer::Outcome,
    caller::Request,
    cluster::{Cluster, ClusterOptions},
    error::{EarlierFailureSnafu, InvalidArgumentSnafu, IoSnafu, ScenarioError, UnknownSnafu},
    load::{Load, Record},
};

/// Runs the directives of one scenario.
#[derive(Debug)]
pub struct Runner {
    rt: Runtime,
    /// Directory of settings, configurations and logs.
    dir: PathBuf,
    cluster: Option<Cluster>,
    pending_requests: BTreeMap<String, PendingRequest>,
    loads: BTreeMap<String, Load>,
    /// Tokens of the top-ups by their ids.
    top_ups: BTreeMap<String, u64>,
    /// Requests that have ended, and their outcomes.
    records: Vec<Record>,
    /// Error of an earlier directive. The directives after it are not run.
    failure: Option<String>,
}

/// A background request in progress.
#[derive(Debug)]
struct PendingRequest {
    request: Request,
    task: JoinHandle<Outcome>,
    /// Number of tokens received so far.
    tokens_received: watch::Receiver<u64>,
}

impl Runner {
    /// Creates a runner that writes its files to the directory `dir`, which is emptied when a
    /// cluster starts.
    ///
    /// # Errors
    ///
    /// Fails if the threads of the runtime cannot be started.
    pub fn new(dir: &Path) -> Result<Runner, ScenarioError> {
        let rt = Runtime::new();
        let rt = snafu::ResultExt::context(
            rt,
            IoSnafu {
                action: "start a runtime",
            },
        )?;
        Ok(Runner {
            rt,
            dir: dir.to_owned(),
            cluster: None,
            pending_requests: BTreeMap::new(),
            loads: BTreeMap::new(),
            top_ups: BTreeMap::new(),
            records: Vec::new(),
            failure: None,
        })
    }

    /// Runs one directive and returns its output.
    ///
    /// | directive | effect |
    /// |---|---|
    /// | `cluster routers engines [services]` | starts processes; input: lines of the section `[ledger]`, and lines `engine --option=N` |
    /// | `top-up at tokens id` | adds tokens to the budget |
    /// | `complete at key [name] [prompt] [max-tokens]` | requests a streamed completion, in the background if `name` is set; from several routers concurrently if `at` lists several |
    /// | `book at key [name]`, `look-up at key [name]` | calls a service in the same way |
    /// | `await-tokens name tokens` | waits until this number of tokens of a background request has been received |
    /// | `join name [any-outcome]` | waits for a background request, or stops a load; prints the outcomes, except with `any-outcome` |
    /// | `load name at workers [operation] [max-tokens] [pause-ms]` | sends requests until it is joined |
    /// | `await-requests name requests` | waits until this number of further requests of a load has ended |
    /// | `kill`, `stop`, `continue`, `terminate`, `start`, with `process` | sends a signal to processes, or starts them |
    /// | `cut`, `hold`, with `from to`; `heal` | sets the state of links; opens all links |
    /// | `storm seed steps` | injects random faults into processes, links and the platform, then removes them all |
    /// | `fault at`, input: JSON | sets a fault of fake servers |
    /// | `withdraw host` | lists backend servers as leaving |
    /// | `apply without`, `apply-concurrently` | applies one configuration, or two concurrently |
    /// | `await-version at version` | waits until routers have a version of the configuration |
    /// | `order at backend` | orders an engine to load a model; prints whether it succeeded |
    /// | `sleep ms` | waits for a fixed time |
    /// | `count at counter` | prints the sum of a counter over fake servers |
    /// | `await-count at counter min` | waits until that sum is at least `min` |
    /// | `count-increase at counter ms` | prints the increase of that sum within a time |
    /// | `audit at` | compares the routers' statements with the records of callers and fake servers |
    ///
    /// # Errors
    ///
    /// Fails if the directive cannot be executed, or if its condition is not met in time.
    pub fn run(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        if let Some(cause) = &self.failure {
            return EarlierFailureSnafu { cause }.fail();
        }
        let result = self.run_directive(case);
        if let Err(e) = &result {
            self.failure = Some(e.to_string());
        }
        result
    }

    fn run_directive(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        let handle = self.rt.handle().clone();
        let mut args = Args::new(case);
        let output = handle.block_on(self.dispatch(&mut args))?;
        args.finish()?;
        Ok(format!("{}\n", output.trim_end()))
    }

    async fn dispatch(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        match args.directive().as_str() {
            "cluster" => self.start_cluster(args).await,
            "complete" | "book" | "look-up" => self.send_request(args).await,
            "await-tokens" => self.await_tokens(args).await,
            "join" => self.join(args).await,
            "load" => self.start_load(args),
            "await-requests" => self.await_requests(args).await,
            "top-up" => self.top_up(args).await,
            "kill" | "stop" | "continue" | "terminate" | "start" => self.manage_process(args).await,
            "cut" | "hold" => self.set_link_state(args),
            "heal" => self.heal(),
            "storm" => self.storm(args).await,
            "fault" => self.set_fault(args).await,
            "withdraw" => self.withdraw(args).await,
            "apply" => self.apply(args).await,
            "apply-concurrently" => self.apply_concurrently().await,
            "await-version" => self.await_version(args).await,
            "order" => self.order(args).await,
            "sleep" => self.sleep(args).await,
            "count" => self.count(args).await,
            "await-count" => self.await_count(args).await,
            "count-increase" => self.count_increase(args).await,
            "audit" => self.audit(args).await,
            name => UnknownSnafu {
                kind: "directive",
                name,
            }
            .fail(),
        }
    }

    async fn start_cluster(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let input = args.input();
        let (engine_args, ledger): (Vec<&str>, Vec<&str>) =
            input.lines().partition(|line| line.starts_with("engine "));
        let engine_args = engine_args
            .iter()
            .filter_map(|line| line.strip_prefix("engine "));
        let options = ClusterOptions {
            routers: args.number("routers")?,
            engines: args.number("engines")?,
            services: args.number_or("services", 0)?,
            engine_args: engine_args.map(str::to_owned).collect(),
            ledger: ledger.join("\n"),
        };
        self.cluster = Some(Cluster::start(&self.dir, &options).await?);
        Ok("ready".to_owned())
    }

    fn cluster(&self) -> Result<&Cluster, ScenarioError> {
        let kind = "running cluster";
        let name = "cluster";
        self.cluster
            .as_ref()
            .ok_or_else(|| UnknownSnafu { kind, name }.build())
    }

    fn cluster_mut(&mut self) -> Result<&mut Cluster, ScenarioError> {
        let message = "no cluster has been started";
        self.cluster
            .as_mut()
            .ok_or_else(|| InvalidArgumentSnafu { message }.build())
    }
}
