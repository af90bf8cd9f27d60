//! Directives that control processes, links, fake servers and the configuration.

use std::time::Duration;

use http::Method;
use serde_json::json;

use super::{Args, Runner};
use crate::{
    cluster::{OPERATOR_TOKEN, PLATFORM},
    error::ScenarioError,
    http_client::request_json,
    link::LinkState,
    process::{Signal, run_checked, run_command},
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
        run_checked(
            "toucanctl",
            &command,
            &[("TOUCANCTL_TOKEN", OPERATOR_TOKEN)],
        )
        .await?;
        Ok("topped up".to_owned())
    }

    /// Sends a signal to processes, or starts them.
    pub(super) async fn manage_process(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let directive = args.directive();
        let mut output = String::new();
        for name in args.list("process") {
            match directive.as_str() {
                "start" => {
                    self.cluster_mut()?.start_process(&name)?;
                    if name.starts_with("router") {
                        self.cluster()?.wait_ready(&name).await?;
                    }
                    output.push_str("started\n");
                }
                "stop" => self.send_signal(&name, Signal::Stop).await?,
                "continue" => self.send_signal(&name, Signal::Continue).await?,
                "kill" => {
                    self.send_signal(&name, Signal::Kill).await?;
                    self.wait_for_exit(&name).await?;
                }
                _ => {
                    self.send_signal(&name, Signal::Terminate).await?;
                    let code = self.wait_for_exit(&name).await?;
                    let code = code.map_or("none".to_owned(), |code| code.to_string());
                    output.push_str(&format!("exit code {code}\n"));
                }
            }
        }
        Ok(match output.is_empty() {
            true => "done".to_owned(),
            false => output,
        })
    }

    pub(super) async fn send_signal(
        &mut self,
        name: &str,
        signal: Signal,
    ) -> Result<(), ScenarioError> {
        self.cluster_mut()?.process(name)?.signal(signal).await
    }

    pub(super) async fn wait_for_exit(&mut self, name: &str) -> Result<Option<i32>, ScenarioError> {
        let cluster = self.cluster_mut()?;
        let code = cluster.process(name)?.wait().await?;
        cluster.remove_process(name)?;
        Ok(code)
    }

    /// Cuts or holds the links between each process of `from` and each of `to`.
    pub(super) fn set_link_state(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
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

    pub(super) async fn set_fault(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let body = args.input();
        for name in args.list("at") {
            self.cluster()?.set_fault(&name, &body).await?;
        }
        Ok("set".to_owned())
    }

    /// Sets the platform's host list to all backend servers, with the given ones as leaving.
    pub(super) async fn withdraw(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let leaving = args.list("host");
        let cluster = self.cluster()?;
        let mut hosts = Vec::new();
        for name in cluster
            .process_names("engine")
            .iter()
            .chain(&cluster.process_names("service"))
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
        request_json(platform, Method::PUT, "/v1/hosts", &[], &list).await?;
        Ok("listed".to_owned())
    }

    /// Applies the configuration without the given backend servers.
    pub(super) async fn apply(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let without = args.list("without");
        let cluster = self.cluster()?;
        let dir = cluster.write_config("changed", &without)?;
        cluster.apply(&dir, "scenario").await?;
        Ok("applied".to_owned())
    }

    /// Applies two different configurations concurrently, as two operators. Prints the exit codes.
    pub(super) async fn apply_concurrently(&mut self) -> Result<String, ScenarioError> {
        let cluster = self.cluster()?;
        let engines = cluster.process_names("engine");
        let first = cluster.write_config("first", &engines[..1])?;
        let second = cluster.write_config("second", &engines[1..2])?;
        let first = cluster.apply_args(&first, "ana")?;
        let second = cluster.apply_args(&second, "ben")?;
        let (first, second) = tokio::join!(
            run_command("toucanctl", &first, &[]),
            run_command("toucanctl", &second, &[]),
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
    pub(super) async fn await_version(
        &mut self,
        args: &mut Args<'_>,
    ) -> Result<String, ScenarioError> {
        let version: u64 = args.number("version")?;
        for router in args.list("at") {
            let condition = format!("version {version} at {router}");
            let reached = self.cluster()?.wait_until(&condition, async |cluster| {
                let status = cluster.admin_document(&router, "status").await;
                let status = status.map_err(|e| e.to_string())?;
                let is_current = status["config_version"].as_u64() == Some(version);
                is_current.then_some(()).ok_or(status.to_string())
            });
            reached.await?;
        }
        Ok("in force".to_owned())
    }

    /// Orders an engine, through one router, to load a model.
    pub(super) async fn order(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let router = self.cluster()?.address(&args.text("at")?)?;
        let command = [
            "order".to_owned(),
            args.text("backend")?,
            "load-model".to_owned(),
            "assistant".to_owned(),
            format!("--router={router}"),
        ];
        let env_vars = [("TOUCANCTL_TOKEN", OPERATOR_TOKEN)];
        let command_output = run_command("toucanctl", &command, &env_vars).await?;
        Ok(match command_output.code {
            Some(0) => "carried out",
            _ => "failed",
        }
        .to_owned())
    }

    pub(super) async fn sleep(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let ms = args.number("ms")?;
        tokio::time::sleep(Duration::from_millis(ms)).await;
        Ok("done".to_owned())
    }
}
