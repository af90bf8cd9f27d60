use std::{
    fmt, io,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
};

use log::LevelFilter;

use crate::{clock, line::KeyValues, queue::LineQueue};

/// Builder that configures and installs the event log of a process.
#[derive(Clone, Debug)]
#[must_use]
pub struct LogBuilder {
    process: String,
    host: String,
    incarnation: String,
    level: LevelFilter,
    output: LogOutput,
}

/// Destination of log lines.
#[derive(Clone, Debug)]
enum LogOutput {
    Stderr,
    File(PathBuf),
    /// Standard output, written by a separate thread that reads a bounded queue.
    QueuedStdout {
        /// Maximum number of lines in the queue.
        capacity: usize,
        /// Maximum number of lines of one event per second.
        lines_per_second: u32,
    },
}

/// Error of the installation of an event log.
#[derive(Debug)]
#[non_exhaustive]
pub enum InstallError {
    /// The log file could not be opened.
    Open {
        /// Path of the log file.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// The process already has an event log.
    AlreadyInstalled,
}

impl LogBuilder {
    /// Creates a builder for a process of kind `process`, such as `router`. The log contains events
    /// of level info and above and is written to standard error.
    pub fn new(process: &str) -> LogBuilder {
        LogBuilder {
            process: process.to_owned(),
            host: "-".to_owned(),
            incarnation: "-".to_owned(),
            level: LevelFilter::Info,
            output: LogOutput::Stderr,
        }
    }

    /// Sets the host name in each line.
    pub fn host(mut self, host: &str) -> LogBuilder {
        host.clone_into(&mut self.host);
        self
    }

    /// Sets the incarnation in each line.
    pub fn incarnation(mut self, incarnation: impl fmt::Display) -> LogBuilder {
        self.incarnation = incarnation.to_string();
        self
    }

    /// Sets the lowest level that is logged.
    pub fn level(mut self, level: LevelFilter) -> LogBuilder {
        self.level = level;
        self
    }

    /// Appends lines to the file at `path` instead of writing them to standard error.
    pub fn file(mut self, path: &Path) -> LogBuilder {
        self.output = LogOutput::File(path.to_owned());
        self
    }

    /// Writes lines to standard output from a separate thread, so that logging never blocks.
    ///
    /// At most `capacity` lines are queued, and at most `lines_per_second` lines of each event are
    /// logged in a second. Lines beyond these limits are discarded, and their number is logged.
    pub fn queued_stdout(mut self, capacity: usize, lines_per_second: u32) -> LogBuilder {
        self.output = LogOutput::QueuedStdout {
            capacity,
            lines_per_second,
        };
        self
    }

    /// Installs the event log for the whole process.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be opened or the process already has a log.
    pub fn install(self) -> Result<(), InstallError> {
        let seq = AtomicU64::new(0);
        let LogBuilder {
            process,
            host,
            incarnation,
            level,
            output,
        } = self;
        let dispatch = fern::Dispatch::new()
            .level(level)
            .format(move |out, message, record| {
                let mut line = KeyValues::new();
                line.push("hlc", &clock::now().to_string());
                line.push("seq", &seq.fetch_add(1, Ordering::Relaxed).to_string());
                line.push("process", &process);
                line.push("host", &host);
                line.push("incarnation", &incarnation);
                line.push("level", &record.level().as_str().to_ascii_lowercase());
                line.push("event", &message.to_string());
                let _ = record.key_values().visit(&mut line);
                out.finish(format_args!("{}", line.into_line()));
            });
        let dispatch = match output {
            LogOutput::Stderr => dispatch.chain(io::stderr()),
            LogOutput::File(path) => match fern::log_file(&path) {
                Ok(f) => dispatch.chain(f),
                Err(source) => return Err(InstallError::Open { path, source }),
            },
            LogOutput::QueuedStdout {
                capacity,
                lines_per_second,
            } => {
                let queue = LineQueue::start(capacity, lines_per_second);
                dispatch.chain(fern::Output::call(move |record| {
                    queue.push(&record.args().to_string());
                }))
            }
        };
        dispatch.apply().map_err(|_| InstallError::AlreadyInstalled)
    }
}

impl fmt::Display for InstallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InstallError::Open { path, source } => {
                write!(f, "cannot open log file {}: {source}", path.display())
            }
            InstallError::AlreadyInstalled => f.write_str("the process already has an event log"),
        }
    }
}

impl std::error::Error for InstallError {}
