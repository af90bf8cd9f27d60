//! Directives that act on processes, links, stand-ins and configuration.

use std::time::Duration;

use http::Method;
use serde_json::json;

use super::{Args, Runner};
use crate::{
    cluster::{OPERATOR_TOKEN, PLATFORM},
    error::ScenarioError,
    http_client::document,
    link::LinkState,
    process::{Signal, run, run_ok},
};

impl Runner {
    pub(super) async fn top_up(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let router = self.cluster()?.address(&args.text("at")?)?;
        let (tokens, id): (u64, String) = (args.number("tokens")?, args.text("id")?);
        let command = [
            "top-up".to_owned(),
            "budget".to_owned(),
            tokens.to_string(),
            format!("--id={id}"),
            format!("--router={router}"),
        ];
        self.top_ups.insert(id, tokens);
        run_ok(
            "toucanctl",
            &command,
            &[("TOUCANCTL_TOKEN", OPERATOR_TOKEN)],
        )
        .await?;
        Ok("topped up".to_owned())
    }

    /// Sends a signal to processes or starts them.
    pub(super) async fn signal(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let directive = args.directive();
        let mut facts = String::new();
        for name in args.list("process") {
            match directive.as_str() {
                "start" => {
                    self.cluster_mut()?.start_process(&name)?;
                    if name.starts_with("router") {
                        self.cluster()?.wait_ready(&name).await?;
                    }
                    facts.push_str("started\n");
                }
                "stop" => self.send_signal(&name, Signal::Stop).await?,
                "continue" => self.send_signal(&name, Signal::Continue).await?,
                "kill" => {
                    self.send_signal(&name, Signal::Kill).await?;
                    self.ended(&name).await?;
                }
                _ => {
                    self.send_signal(&name, Signal::Terminate).await?;
                    let code = self.ended(&name).await?;
                    let code = code.map_or("none".to_owned(), |code| code.to_string());
                    facts.push_str(&format!("exit code {code}\n"));
                }
            }
        }
        Ok(match facts.is_empty() {
            true => "done".to_owned(),
            false => facts,
        })
    }

    pub(super) async fn send_signal(
        &mut self,
        name: &str,
        signal: Signal,
    ) -> Result<(), ScenarioError> {
        self.cluster_mut()?.process(name)?.signal(signal).await
    }

    pub(super) async fn ended(&mut self, name: &str) -> Result<Option<i32>, ScenarioError> {
        let cluster = self.cluster_mut()?;
        let code = cluster.process(name)?.wait().await?;
        cluster.forget(name)?;
        Ok(code)
    }

    /// Cuts or holds the links between each process of `from` and each of `to`.
    pub(super) fn break_link(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let state = match args.directive().as_str() {
            "cut" => LinkState::Cut,
            _ => LinkState::Held,
        };
        let (from, to) = (args.list("from"), args.list("to"));
        for one in &from {
            for other in &to {
                self.cluster()?.links().set(one, other, state);
            }
        }
        Ok("done".to_owned())
    }

    pub(super) fn heal(&mut self) -> Result<String, ScenarioError> {
        self.cluster()?.links().heal();
        Ok("done".to_owned())
    }

    pub(super) async fn fault(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let body = args.input();
        for name in args.list("at") {
            self.cluster()?.fault(&name, &body).await?;
        }
        Ok("set".to_owned())
    }

    /// Lists all backend servers, these ones as leaving.
    pub(super) async fn withdraw(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let leaving = args.list("host");
        let cluster = self.cluster()?;
        let mut hosts = Vec::new();
        for name in cluster
            .names("engine")
            .iter()
            .chain(&cluster.names("service"))
        {
            let state = if leaving.contains(name) {
                "leaving"
            } else {
                "live"
            };
            hosts.push(json!({
                "name": name,
                "address": cluster.address(name)?,
                "failure_domain": "alpha",
                "role": "backend",
                "state": state,
            }));
        }
        let list = json!({ "hosts": hosts }).to_string();
        let platform = cluster.address(PLATFORM)?;
        document(platform, Method::PUT, "/v1/hosts", &[], &list).await?;
        Ok("listed".to_owned())
    }

    /// Applies the configuration without some backend servers.
    pub(super) async fn apply(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let without = args.list("without");
        let cluster = self.cluster()?;
        let folder = cluster.write_config("changed", &without)?;
        cluster.apply(&folder, "scenario").await?;
        Ok("applied".to_owned())
    }

    /// Lets two operators apply different configurations at once; prints their exit codes.
    pub(super) async fn race(&mut self) -> Result<String, ScenarioError> {
        let cluster = self.cluster()?;
        let engines = cluster.names("engine");
        let first = cluster.write_config("first", &engines[..1])?;
        let second = cluster.write_config("second", &engines[1..2])?;
        let first = cluster.apply_args(&first, "ana")?;
        let second = cluster.apply_args(&second, "ben")?;
        let (first, second) = tokio::join!(
            run("toucanctl", &first, &[]),
            run("toucanctl", &second, &[]),
        );
        let mut codes: Vec<Option<i32>> = vec![first?.code, second?.code];
        codes.sort_unstable();
        let codes = codes
            .iter()
            .map(|code| code.map_or("none".to_owned(), |c| c.to_string()));
        let codes: Vec<String> = codes.collect();
        Ok(format!("exit codes {}", codes.join(" ")))
    }

    /// Waits until routers have a version of the configuration.
    pub(super) async fn version(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let version: u64 = args.number("is")?;
        for router in args.list("at") {
            let what = format!("version {version} at {router}");
            let wait = self.cluster()?.wait_until(&what, async |cluster| {
                let status = cluster.admin(&router, "status").await;
                let status = status.map_err(|e| e.to_string())?;
                let reached = status["config_version"].as_u64() == Some(version);
                reached.then_some(()).ok_or(status.to_string())
            });
            wait.await?;
        }
        Ok("in force".to_owned())
    }

    /// Orders an engine to load a model by one router.
    pub(super) async fn order(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let router = self.cluster()?.address(&args.text("at")?)?;
        let command = [
            "order".to_owned(),
            args.text("backend")?,
            "load-model".to_owned(),
            "assistant".to_owned(),
            format!("--router={router}"),
        ];
        let vars = [("TOUCANCTL_TOKEN", OPERATOR_TOKEN)];
        let ran = run("toucanctl", &command, &vars).await?;
        Ok(match ran.code {
            Some(0) => "carried out",
            _ => "failed",
        }
        .to_owned())
    }

    pub(super) async fn pass(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let ms = args.number("ms")?;
        tokio::time::sleep(Duration::from_millis(ms)).await;
        Ok("passed".to_owned())
    }
}
