//! Errors that the process prints before it exits, and its exit codes.

mod error;

pub use error::RunError;
pub(crate) use error::{
    BindSnafu, LogSnafu, MetricsSnafu, RuntimeSnafu, SettingsSnafu, SignalSnafu,
};
