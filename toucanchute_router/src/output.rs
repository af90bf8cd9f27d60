//! What the process prints and the codes that it exits with.

mod error;

pub(crate) use error::{
    BindSnafu, LogSnafu, MetricsSnafu, RuntimeSnafu, SettingsSnafu, SignalSnafu,
};
pub use error::RunError;
