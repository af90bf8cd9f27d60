use std::{
    fmt, io,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
};

use log::LevelFilter;

use crate::{clock, line::KeyValues, queue::LineQueue};

/// Builder of a process's event log.
#[derive(Clone, Debug)]
#[must_use]
pub struct LogBuilder {
    process: String,
    host: String,
    incarnation: String,
    level: LevelFilter,
    output: LogOutput,
}

/// Where lines go.
#[derive(Clone, Debug)]
enum LogOutput {
    Stderr,
    File(PathBuf),
    /// Standard output, by a thread of its own behind a bounded queue.
    QueuedStdout {
        capacity: usize,
        /// Most lines of one event in a second.
        lines_per_second: u32,
    },
}

/// An event log that could not be installed.
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
    /// The process has an event log already.
    AlreadyInstalled,
}

impl LogBuilder {
    /// Starts the setup of the log of a process such as `router`.
    pub fn new(process: &str) -> LogBuilder {
        LogBuilder {
            process: process.to_owned(),
            host: "-".to_owned(),
            incarnation: "-".to_owned(),
            level: LevelFilter::Info,
            output: LogOutput::Stderr,
        }
    }

    /// Sets the host's name that each line carries.
    pub fn host(mut self, host: &str) -> LogBuilder {
        host.clone_into(&mut self.host);
        self
    }

    /// Sets the incarnation that each line carries.
    pub fn incarnation(mut self, incarnation: impl fmt::Display) -> LogBuilder {
        self.incarnation = incarnation.to_string();
        self
    }

    /// Sets the lowest level that is written.
    pub fn level(mut self, level: LevelFilter) -> LogBuilder {
        self.level = level;
        self
    }

    /// Appends to the file at `path` instead of writing to standard error.
    pub fn file(mut self, path: &Path) -> LogBuilder {
        self.output = LogOutput::File(path.to_owned());
        self
    }

    /// Writes to standard output without ever waiting for it: of lines beyond `capacity` that are
    /// not written yet, and beyond `lines_per_second` of one event in a second, only the number is told.
    pub fn queued_stdout(mut self, capacity: usize, lines_per_second: u32) -> LogBuilder {
        self.output = LogOutput::QueuedStdout {
            capacity,
            lines_per_second,
        };
        self
    }

    /// Installs the log for the whole process.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened or a log is installed already.
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
            InstallError::AlreadyInstalled => f.write_str("the process has an event log already"),
        }
    }
}

impl std::error::Error for InstallError {}
