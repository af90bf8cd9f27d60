use std::{
    env,
    path::{Path, PathBuf},
    process::Stdio,
};

use snafu::{ResultExt, ensure};
use tokio::process::{Child, Command};

use crate::error::{CommandSnafu, NoBinarySnafu, ProcessSnafu, ScenarioError};

/// Signals that a scenario sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Kills the process.
    Kill,
    /// Requests a graceful shutdown.
    Terminate,
    /// Pauses the process.
    Stop,
    /// Resumes the process after a pause.
    Continue,
    /// Requests that the process reload its settings.
    Hangup,
}

impl Signal {
    fn kill_option(self) -> &'static str {
        match self {
            Signal::Kill => "-KILL",
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Hangup => "-HUP",
        }
    }
}

/// A process that a scenario started; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `binary`. Its output is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the binary is missing or cannot be started.
    pub fn start(
        name: &str,
        binary: &str,
        args: &[String],
        log: &Path,
    ) -> Result<Process, ScenarioError> {
        let action = "start";
        let out = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log);
        let out = out.context(ProcessSnafu { action, name })?;
        let err = out.try_clone().context(ProcessSnafu { action, name })?;
        let child = Command::new(binary_path(binary)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .kill_on_drop(true)
            .spawn()
            .context(ProcessSnafu { action, name })?;
        let name = name.to_owned();
        Ok(Process { name, child })
    }

    /// Returns the identifier of the process, or `None` if it has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    ///
    /// # Errors
    ///
    /// Fails if `kill` cannot be run.
    pub async fn signal(&self, signal: Signal) -> Result<(), ScenarioError> {
        match self.id() {
            Some(id) => signal_all(&[id], signal).await,
            None => Ok(()),
        }
    }

    /// Waits until the process ends. Returns its exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    ///
    /// Fails if the system does not report the exit status.
    pub async fn wait(&mut self) -> Result<Option<i32>, ScenarioError> {
        let status = self.child.wait().await;
        let action = "wait for";
        let status = status.context(ProcessSnafu {
            action,
            name: &self.name,
        })?;
        Ok(status.code())
    }
}

/// Sends a signal to each of these processes; those that have ended are passed over.
///
/// # Errors
///
/// Fails if `kill` cannot be run.
pub async fn signal_all(ids: &[u32], signal: Signal) -> Result<(), ScenarioError> {
    if ids.is_empty() {
        return Ok(());
    }
    let status = Command::new("kill")
        .arg(signal.kill_option())
        .args(ids.iter().map(u32::to_string))
        .stderr(Stdio::null())
        .status()
        .await;
    let (action, name) = ("run", "kill");
    status.context(ProcessSnafu { action, name })?;
    Ok(())
}

/// Exit code and output of a command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Runs `binary` until it ends.
pub(crate) async fn run_command(
    binary: &str,
    args: &[String],
    env_vars: &[(&str, &str)],
) -> Result<CommandOutput, ScenarioError> {
    let output = Command::new(binary_path(binary)?)
        .args(args)
        .envs(env_vars.iter().copied())
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await;
    let action = "run";
    let output = output.context(ProcessSnafu {
        action,
        name: binary,
    })?;
    Ok(CommandOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}

/// Runs `binary` until it ends and returns its standard output. Fails if the exit code is not 0.
pub(crate) async fn run_checked(
    binary: &str,
    args: &[String],
    env_vars: &[(&str, &str)],
) -> Result<String, ScenarioError> {
    let command_output = run_command(binary, args, env_vars).await?;
    let (name, code, output) = (binary, command_output.code, command_output.stderr);
    ensure!(code == Some(0), CommandSnafu { name, code, output });
    Ok(command_output.stdout)
}

/// Returns the path of a binary of the workspace, which is in the parent of the test executable's
/// directory.
fn binary_path(binary: &str) -> Result<PathBuf, ScenarioError> {
    let exe = env::current_exe().unwrap_or_default();
    let dir = exe
        .parent()
        .and_then(Path::parent)
        .unwrap_or(Path::new("."));
    let path = dir.join(binary);
    ensure!(path.is_file(), NoBinarySnafu { path });
    Ok(path)
}
