//! Planned stops of the process and reloads of its settings.

use std::{path::PathBuf, sync::Arc, time::Duration};

use tokio::{
    signal::unix::Signal,
    sync::watch,
    time::{Instant, MissedTickBehavior},
};
use toucanchute_core::fleet::Fleet;
use toucanchute_edge::{RefusalReason, passthrough::PlannedStop};
use toucanchute_proto::Millis;
use toucanchute_settings::load_gateway;
use xtra::prelude::*;

use crate::{
    actor::{FleetActor, FleetInput, PrepaidActor, PrepaidInput, post},
    clock,
    run::level_filter,
    view::RouterView,
};

/// Time before the end of the grace period at which the process ends even if requests are still in
/// progress.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Time before the process ends at which quiet connections are closed and waiting requests refused,
/// even if other requests are still in progress. The edge takes less time to close connections.
const CLOSING_TIME: Duration = Duration::from_millis(1_500);

/// Interval between two checks whether a signal has arrived.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A planned stop of this process within a grace period.
pub(super) struct PlannedShutdown {
    pub(super) fleet: Address<FleetActor>,
    pub(super) prepaid: Address<PrepaidActor>,
    pub(super) view: Arc<RouterView>,
    /// Set to the times of the stop when it begins.
    pub(super) stop: watch::Sender<Option<PlannedStop>>,
    /// Set to true when quiet connections have to be closed and waiting requests refused.
    pub(super) closing: watch::Sender<bool>,
    /// Set to true when the process has to end at once.
    pub(super) out_of_time: watch::Sender<bool>,
    /// Time between the signal and the moment when the platform kills the process.
    pub(super) grace: Duration,
}

impl PlannedShutdown {
    /// Begins the stop when one of the signals arrives, and forces the exit shortly before the end
    /// of the grace period.
    pub(super) async fn run_on_signal(self, mut terminate: Signal, mut interrupt: Signal) {
        let earliest = signalled(&mut terminate, &mut interrupt).await;
        let stop = self.schedule(earliest);
        log::info!(
            grace_ms = self.grace.as_millis() as u64,
            handled_after_ms = earliest.elapsed().as_millis() as u64;
            "drain-requested"
        );
        self.stop.send_replace(Some(stop));
        post(&self.prepaid, PrepaidInput::Drain);
        post(&self.fleet, FleetInput::Drain);
        tokio::time::sleep_until(stop.ends_at - CLOSING_TIME.min(self.grace)).await;
        self.closing.send_replace(true);
        tokio::time::sleep_until(stop.ends_at).await;
        log::warn!("drain-out-of-time");
        self.out_of_time.send_replace(true);
    }

    /// Returns the times of a stop whose signal arrived at `signalled_at` or later. A router that was
    /// never ready is in no address list and accepts nothing.
    fn schedule(&self, signalled_at: Instant) -> PlannedStop {
        let ends_at = signalled_at + self.grace.saturating_sub(EXIT_MARGIN);
        let refusal = self.view.unready(clock::now());
        let acceptance = match refusal.is_some_and(|r| r.reason == RefusalReason::Starting) {
            true => Millis(0),
            false => Fleet::acceptance_time(&self.view.config()),
        };
        let accepts_until = signalled_at + Duration::from_millis(acceptance.0);
        PlannedStop {
            accepts_until: accepts_until.min(ends_at),
            ends_at,
        }
    }
}

/// Waits for one of the signals. Returns a time before which it had not arrived, also in a process
/// that was held up since.
async fn signalled(terminate: &mut Signal, interrupt: &mut Signal) -> Instant {
    let mut ticks = tokio::time::interval(SIGNAL_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = [Instant::now(); 2];
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => return checks[0],
            _ = interrupt.recv() => return checks[0],
            // The runtime collects signals between two ticks, so what arrived before the last tick
            // but one is received by now.
            _ = ticks.tick() => checks = [checks[1], Instant::now()],
        }
    }
}

/// Resolves once the router refuses new work because it is leaving, or once connections have to be
/// closed.
pub(super) async fn refusing_started(
    mut stop: watch::Receiver<Option<PlannedStop>>,
    closing: watch::Receiver<bool>,
) {
    let refusing = async {
        let begun = stop.wait_for(Option::is_some).await.map(|stop| *stop);
        match begun {
            Ok(Some(stop)) => tokio::time::sleep_until(stop.accepts_until).await,
            _ => std::future::pending().await,
        }
    };
    tokio::select! {
        () = refusing => {}
        () = requested(closing) => {}
    }
}

/// Resolves once the sender has set its value to true.
pub(super) async fn requested(mut signal: watch::Receiver<bool>) {
    if signal.wait_for(|set| *set).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads the settings file again whenever the signal arrives. Only the log level takes effect;
/// other settings need a restart.
pub(super) async fn reload_on_hangup(mut hangup: Signal, path: PathBuf) {
    while hangup.recv().await.is_some() {
        match load_gateway(&path) {
            Ok(settings) => {
                log::set_max_level(level_filter(settings.log.level));
                log::info!(path:% = path.display(); "settings-reloaded");
            }
            Err(e) => log::error!(error:% = e; "settings-refused"),
        }
    }
}

#[cfg(test)]
mod tests;
