use std::{env, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use super::{Args, Runner};
use crate::{cluster::PLATFORM, error::ScenarioError, link::LinkState, process::Signal};

/// Environment variable that overrides the seed of the scenario.
const SEED_VARIABLE: &str = "STORM_SEED";
/// Upper bound of the time between two faults, in milliseconds.
const MAX_INTERVAL_MS: u64 = 3_000;

/// A fault of a cluster, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// A router is killed and started again.
    KillRouter,
    /// A running router is paused, or a paused one is resumed.
    ToggleRouterPause,
    /// Sets the state of the links of a router to its peers.
    IsolateRouter(LinkState),
    /// Sets the state of the link of a router to the platform.
    DisconnectPlatform(LinkState),
    /// All links are opened.
    HealLinks,
    /// The fault mode of the platform is set; the value is the body of `POST /fault`.
    SetPlatformMode(&'static str),
    /// An engine crashes.
    CrashEngine,
}

const FAULTS: [Fault; 12] = [
    Fault::KillRouter,
    Fault::ToggleRouterPause,
    Fault::ToggleRouterPause,
    Fault::IsolateRouter(LinkState::Cut),
    Fault::IsolateRouter(LinkState::Held),
    Fault::DisconnectPlatform(LinkState::Cut),
    Fault::DisconnectPlatform(LinkState::Held),
    Fault::HealLinks,
    Fault::SetPlatformMode(r#"{"mode":"down"}"#),
    Fault::SetPlatformMode(r#"{"mode":"lose-answers","path":"/v3/kv/txn","count":10}"#),
    Fault::SetPlatformMode(r#"{"mode":"ok"}"#),
    Fault::CrashEngine,
];

impl Runner {
    /// Injects random faults into processes, links and the platform, then removes all faults.
    pub(super) async fn storm(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let default_seed = args.number("seed")?;
        let seed = env::var(SEED_VARIABLE)
            .ok()
            .and_then(|seed| seed.parse().ok());
        let seed = seed.unwrap_or(default_seed);
        let steps: u32 = args.number("steps")?;
        eprintln!("storm: seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let routers = self.cluster()?.process_names("router");
        let mut paused = Vec::new();
        for _ in 0..steps {
            let fault = FAULTS.choose(&mut rng).copied().unwrap_or(Fault::HealLinks);
            let router = routers.choose(&mut rng).cloned().unwrap_or_default();
            eprintln!("storm: {fault:?} {router}");
            self.inject(fault, &router, &mut paused).await?;
            let interval = rng.random_range(0..MAX_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(interval)).await;
        }
        for router in &paused {
            self.send_signal(router, Signal::Continue).await?;
        }
        self.heal()?;
        self.cluster()?
            .set_fault(PLATFORM, r#"{"mode":"ok"}"#)
            .await?;
        for router in &routers {
            self.cluster()?.wait_ready(router).await?;
        }
        Ok("recovered".to_owned())
    }

    async fn inject(
        &mut self,
        fault: Fault,
        router: &str,
        paused: &mut Vec<String>,
    ) -> Result<(), ScenarioError> {
        let cluster = self.cluster()?;
        match fault {
            Fault::KillRouter => {
                self.send_signal(router, Signal::Kill).await?;
                self.wait_for_exit(router).await?;
                paused.retain(|name| name != router);
                self.cluster_mut()?.start_process(router)?;
            }
            Fault::ToggleRouterPause => match paused.iter().position(|name| name == router) {
                Some(index) => {
                    paused.remove(index);
                    self.send_signal(router, Signal::Continue).await?;
                }
                None => {
                    paused.push(router.to_owned());
                    self.send_signal(router, Signal::Stop).await?;
                }
            },
            Fault::IsolateRouter(state) => {
                for peer in cluster.process_names("router") {
                    cluster.links().set(router, &peer, state);
                }
            }
            Fault::DisconnectPlatform(state) => cluster.links().set(router, PLATFORM, state),
            Fault::HealLinks => cluster.links().heal(),
            Fault::SetPlatformMode(fault) => cluster.set_fault(PLATFORM, fault).await?,
            Fault::CrashEngine => {
                cluster
                    .set_fault("engine-1", r#"{"mode":"crash","ms":500}"#)
                    .await?;
            }
        }
        Ok(())
    }
}
