mod files;

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use http::Method;
use serde_json::Value;
use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use self::files::RouterSettings;
use crate::{
    audit::Statement,
    error::{IoSnafu, ScenarioError, TimedOutSnafu, UnknownSnafu},
    http_client::request_json,
    link::{Dialer, Links, forward},
    ports::free_address,
    process::{Process, run_checked},
};

/// Timeout of waiting for a condition, in seconds.
const CONDITION_TIMEOUT_S: u64 = 60;
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Name of the only customer.
pub(crate) const CUSTOMER: &str = "customer";
/// Token of the customer on whose behalf all requests are sent.
pub(crate) const CUSTOMER_TOKEN: &str = "scenario-customer";
/// Token of the operators.
pub(crate) const OPERATOR_TOKEN: &str = "scenario-operator";
/// Name of the process of the fake platform.
pub(crate) const PLATFORM: &str = "platform";

/// Options of a cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterOptions {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    /// Further command line options of the fake engines.
    pub(crate) engine_args: Vec<String>,
    /// Further lines of the section `[ledger]`.
    pub(crate) ledger: String,
}

/// One process of a cluster.
#[derive(Debug)]
struct Node {
    binary: &'static str,
    args: Vec<String>,
    address: SocketAddr,
    /// `None` while the process is not running.
    process: Option<Process>,
}

/// Processes on loopback and the links between them.
#[derive(Debug)]
pub(crate) struct Cluster {
    dir: PathBuf,
    /// Further lines of the section `[ledger]`, the same in each configuration.
    ledger: String,
    nodes: BTreeMap<String, Node>,
    links: Links,
}

impl Cluster {
    /// Starts the processes, applies a configuration and waits until each router is ready.
    pub(crate) async fn start(
        dir: &Path,
        options: &ClusterOptions,
    ) -> Result<Cluster, ScenarioError> {
        let _ = fs::remove_dir_all(dir);
        fs::create_dir_all(dir).context(IoSnafu {
            action: "create the scenario's directory",
        })?;
        let mut cluster = Cluster {
            dir: dir.to_owned(),
            ledger: options.ledger.clone(),
            nodes: BTreeMap::new(),
            links: Links::new(),
        };
        cluster.start_fakes(options).await?;
        let config = cluster.write_config("config", &[])?;
        cluster.apply(&config, "scenario").await?;
        cluster.start_routers(options.routers).await?;
        for name in cluster.process_names("router") {
            cluster.wait_ready(&name).await?;
        }
        Ok(cluster)
    }

    async fn start_fakes(&mut self, options: &ClusterOptions) -> Result<(), ScenarioError> {
        self.start_fake(PLATFORM, "toucanchute-fake-platform", &[])
            .await?;
        for i in 1..=options.engines {
            let name = format!("engine-{i}");
            let binary = "toucanchute-fake-engine";
            self.start_fake(&name, binary, &options.engine_args).await?;
        }
        for i in 1..=options.services {
            let name = format!("service-{i}");
            self.start_fake(&name, "toucanchute-fake-service", &[])
                .await?;
        }
        Ok(())
    }

    async fn start_fake(
        &mut self,
        name: &str,
        binary: &'static str,
        args: &[String],
    ) -> Result<(), ScenarioError> {
        let address = free_address();
        let mut all_args = vec![format!("--listen={address}"), format!("--name={name}")];
        all_args.extend_from_slice(args);
        self.insert_node(name, binary, all_args, address);
        self.start_process(name)?;
        self.wait_until(&format!("{name} to listen"), async |cluster| {
            let stats = cluster.stats(name).await;
            stats.map(drop).map_err(|e| e.to_string())
        })
        .await
    }

    fn insert_node(
        &mut self,
        name: &str,
        binary: &'static str,
        args: Vec<String>,
        address: SocketAddr,
    ) {
        let node = Node {
            binary,
            args,
            address,
            process: None,
        };
        self.nodes.insert(name.to_owned(), node);
    }

    async fn start_routers(&mut self, count: usize) -> Result<(), ScenarioError> {
        let names: Vec<String> = (1..=count).map(|i| format!("router-{i}")).collect();
        let mut routers = Vec::new();
        for (i, name) in names.iter().enumerate() {
            routers.push(self.prepare_router(i, name, &names).await?);
        }
        let peers: Vec<SocketAddr> = routers.iter().map(|router| router.peer_advertise).collect();
        for router in routers {
            let path = self.dir.join(format!("{}.ini", router.name));
            let settings = router.to_ini(&peers);
            fs::write(&path, settings).context(IoSnafu {
                action: "write settings",
            })?;
            let args = vec![format!("--settings={}", path.display())];
            self.insert_node(&router.name, "toucanchute-router", args, router.listen);
            self.start_process(&router.name)?;
        }
        Ok(())
    }

    /// Allocates a router's addresses and starts the forwarders of its links.
    async fn prepare_router(
        &self,
        index: usize,
        name: &str,
        names: &[String],
    ) -> Result<RouterSettings, ScenarioError> {
        let action = "start a forwarder";
        let peer_listen = free_address();
        let dialer = Dialer::Peer(names.to_vec());
        let peer_advertise = forward(&self.links, dialer, name, peer_listen).await;
        let dialer = Dialer::Known(name.to_owned());
        let platform = self.address(PLATFORM)?;
        let platform = forward(&self.links, dialer, PLATFORM, platform).await;
        Ok(RouterSettings {
            name: name.to_owned(),
            index,
            listen: free_address(),
            peer_listen,
            peer_advertise: peer_advertise.context(IoSnafu { action })?,
            platform: platform.context(IoSnafu { action })?,
        })
    }

    // Processes

    /// Starts the process of a node, which must not be running.
    pub(crate) fn start_process(&mut self, name: &str) -> Result<(), ScenarioError> {
        let log = self.dir.join(format!("{name}.log"));
        let node = self.node_mut(name)?;
        node.process = Some(Process::start(name, node.binary, &node.args, &log)?);
        Ok(())
    }

    /// Returns a running process.
    pub(crate) fn process(&mut self, name: &str) -> Result<&mut Process, ScenarioError> {
        let node = self.node_mut(name)?;
        let kind = "running process";
        node.process
            .as_mut()
            .ok_or_else(|| UnknownSnafu { kind, name }.build())
    }

    /// Removes a process that has ended, so that its node can be started again.
    pub(crate) fn remove_process(&mut self, name: &str) -> Result<(), ScenarioError> {
        self.node_mut(name)?.process = None;
        Ok(())
    }

    pub(crate) fn address(&self, name: &str) -> Result<SocketAddr, ScenarioError> {
        let node = self.nodes.get(name);
        let kind = "process";
        node.map(|node| node.address)
            .ok_or_else(|| UnknownSnafu { kind, name }.build())
    }

    fn node_mut(&mut self, name: &str) -> Result<&mut Node, ScenarioError> {
        let kind = "process";
        self.nodes
            .get_mut(name)
            .ok_or_else(|| UnknownSnafu { kind, name }.build())
    }

    /// Returns the names of the processes whose name starts with `kind`.
    pub(crate) fn process_names(&self, kind: &str) -> Vec<String> {
        let names = self.nodes.keys();
        names
            .filter(|name| name.starts_with(kind))
            .cloned()
            .collect()
    }

    pub(crate) fn links(&self) -> &Links {
        &self.links
    }

    // Configuration

    /// Writes a directory of configuration files without the backend servers in `excluded`.
    pub(crate) fn write_config(
        &self,
        name: &str,
        excluded: &[String],
    ) -> Result<PathBuf, ScenarioError> {
        let dir = self.dir.join(name);
        let action = "write a configuration";
        fs::create_dir_all(&dir).context(IoSnafu { action })?;
        let mut config = files::site_config(&self.ledger);
        for kind in ["engine", "service"] {
            let names = self.process_names(kind).into_iter();
            for (i, name) in names
                .enumerate()
                .filter(|(_, name)| !excluded.contains(name))
            {
                config.push_str(&files::backend_section(
                    &name,
                    kind,
                    self.address(&name)?,
                    i,
                ));
            }
        }
        fs::write(dir.join("site.ini"), config).context(IoSnafu { action })?;
        Ok(dir)
    }

    /// Applies a directory of configuration files.
    pub(crate) async fn apply(&self, dir: &Path, author: &str) -> Result<String, ScenarioError> {
        let args = self.apply_args(dir, author)?;
        run_checked("toucanctl", &args, &[]).await
    }

    pub(crate) fn apply_args(
        &self,
        dir: &Path,
        author: &str,
    ) -> Result<Vec<String>, ScenarioError> {
        Ok(vec![
            "apply".to_owned(),
            dir.display().to_string(),
            format!("--platform={}", self.address(PLATFORM)?),
            format!("--author={author}"),
        ])
    }

    // Requests to the processes

    /// Returns the counters of a fake server.
    pub(crate) async fn stats(&self, name: &str) -> Result<Value, ScenarioError> {
        request_json(self.address(name)?, Method::GET, "/stats", &[], "").await
    }

    /// Sets the fault of a fake server.
    pub(crate) async fn set_fault(&self, name: &str, body: &str) -> Result<(), ScenarioError> {
        request_json(self.address(name)?, Method::POST, "/fault", &[], body).await?;
        Ok(())
    }

    /// Requests a document of a router's interface for operators.
    pub(crate) async fn admin_document(
        &self,
        router: &str,
        path: &str,
    ) -> Result<Value, ScenarioError> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let path = format!("/v1/admin/{path}");
        request_json(self.address(router)?, Method::GET, &path, &headers, "").await
    }

    /// Requests the statement of the only budget.
    pub(crate) async fn statement(&self, router: &str) -> Result<Statement, ScenarioError> {
        let statement = self.admin_document(router, "statements/budget").await?;
        Ok(serde_json::from_value(statement).unwrap_or_default())
    }

    // Waiting

    pub(crate) async fn wait_ready(&self, router: &str) -> Result<(), ScenarioError> {
        let members = self.process_names("router").len() as u64;
        self.wait_until(&format!("{router} to become ready"), async |cluster| {
            let status = cluster
                .admin_document(router, "status")
                .await
                .map_err(|e| e.to_string())?;
            let ready = status["ready"] == true && status["members"].as_u64() >= Some(members);
            ready.then_some(()).ok_or(status.to_string())
        })
        .await
    }

    /// Polls `check` until it succeeds. Its error is the state that it observed.
    pub(crate) async fn wait_until(
        &self,
        condition: &str,
        check: impl AsyncFn(&Cluster) -> Result<(), String>,
    ) -> Result<(), ScenarioError> {
        let end = Instant::now() + Duration::from_secs(CONDITION_TIMEOUT_S);
        loop {
            let Err(observed) = check(self).await else {
                return Ok(());
            };
            if Instant::now() > end {
                let seconds = CONDITION_TIMEOUT_S;
                return TimedOutSnafu {
                    condition,
                    seconds,
                    observed,
                }
                .fail();
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
