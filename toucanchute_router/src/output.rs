//! What the process prints and the codes that it exits with.

mod error;

pub use error::RunError;
pub(crate) use error::{
    BindSnafu, LogSnafu, MetricsSnafu, RuntimeSnafu, SettingsSnafu, SignalSnafu,
};
