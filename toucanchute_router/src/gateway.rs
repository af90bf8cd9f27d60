//! The gateway: the process of an entry host on the users' platform. It passes requests through to
//! services by the operator's routes. It uses the same links and the same fleet and dispatch actors
//! as the router.

mod control;
mod directory;
mod host_link;
mod http_server;
#[cfg(test)]
mod memory_store;
mod metrics;
mod quarantine;
mod router_registry;
mod server;
mod shutdown;
mod signals;
mod store_reader;
mod stream_copies;
mod stream_origins;

use std::path::PathBuf;

use snafu::ResultExt;
use toucanchute_log::LogBuilder;
use toucanchute_proto::{Incarnation, settings::GatewaySettings};
use toucanchute_settings::load_gateway;

use crate::{
    output::{LogSnafu, RunError, RuntimeSnafu, SettingsSnafu},
    run::level_filter,
};
use signals::Signals;
pub(crate) use stream_copies::StreamCopies;
pub(crate) use stream_origins::StreamOriginKeeper;

/// Most log lines that wait to be written; further ones are dropped and counted.
const LOG_QUEUE_LINES: usize = 4_096;

/// Most log lines of one event per second; further ones are dropped and counted.
const MAX_EVENT_LINES_PER_SECOND: u32 = 400;

/// Runs a gateway until its shutdown is complete.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the process cannot start.
pub(crate) fn run(path: PathBuf) -> Result<(), RunError> {
    // The hosts have less than one core, so more threads would only add context switches.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.context(RuntimeSnafu)?;
    // Handlers are installed first, since a signal without a handler would end the process.
    let signals = {
        let _guard = runtime.enter();
        Signals::install()?
    };
    let settings = load_gateway(&path).context(SettingsSnafu)?;
    let incarnation = Incarnation(rand::random());
    install_log(&settings, incarnation)?;
    let served = runtime.block_on(server::serve(settings, path, incarnation, signals));
    // Ends the requests that are still in progress, which log how far they were.
    drop(runtime);
    toucanchute_log::flush();
    served
}

fn install_log(settings: &GatewaySettings, incarnation: Incarnation) -> Result<(), RunError> {
    let setup = LogBuilder::new("gateway")
        .host(&settings.router.host)
        .incarnation(incarnation)
        .level(level_filter(settings.log.level));
    let setup = match &settings.log.file {
        Some(file) => setup.file(file.as_ref()),
        None => setup.queued_stdout(LOG_QUEUE_LINES, MAX_EVENT_LINES_PER_SECOND),
    };
    setup.install().context(LogSnafu)
}
