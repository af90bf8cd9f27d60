use std::{net::SocketAddr, process::ExitCode};

use snafu::Snafu;
use toucanchute_proto::api::Problem;
use toucanchute_settings::SettingsError;

use crate::apply::ApplyError;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// A configuration or settings file is invalid.
    #[snafu(display("{source}"))]
    Files { source: SettingsError },
    /// The command line, or a file that it names, is invalid.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// A router refused the command.
    #[snafu(display("refused by {address}: {}", describe(problem)))]
    Refused {
        address: SocketAddr,
        problem: Box<Problem>,
    },
    /// The configuration was not accepted.
    #[snafu(display("{source}"))]
    Apply { source: ApplyError },
    /// No router responded.
    #[snafu(display("no router responded; check --router and the network:\n{causes}"))]
    Unreachable { causes: String },
    /// A router's response is malformed.
    #[snafu(display("cannot parse the response of {address}: {cause}"))]
    MalformedResponse { address: SocketAddr, cause: String },
    /// Standard output was closed.
    #[snafu(display("cannot write to standard output: {source}"))]
    Output { source: std::io::Error },
}

/// Exit codes of `toucanctl`, as its help lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
    LostRace = 4,
}

impl Error {
    /// Returns the process's exit code.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Error::Files { .. } | Error::Usage { .. } => Exit::Usage,
            Error::Refused { .. } => Exit::Refused,
            Error::Apply { source } => apply_exit(source),
            Error::Unreachable { .. } | Error::MalformedResponse { .. } | Error::Output { .. } => {
                Exit::Unreachable
            }
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

fn apply_exit(err: &ApplyError) -> Exit {
    match err {
        ApplyError::LostRace { .. } | ApplyError::Unexpected { .. } => Exit::LostRace,
        ApplyError::Unreachable { .. } => Exit::Unreachable,
        _ => Exit::Refused,
    }
}

fn describe(problem: &Problem) -> String {
    match (problem.detail.as_str(), problem.title.as_str()) {
        ("", "") => format!("status {}", problem.status),
        ("", title) => title.to_owned(),
        (detail, _) => detail.to_owned(),
    }
}
