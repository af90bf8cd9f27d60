use std::{env, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use super::{Args, Runner};
use crate::{cluster::PLATFORM, error::ScenarioError, link::LinkState, process::Signal};

/// Environment variable with a seed in place of the scenario's.
const SEED_VARIABLE: &str = "STORM_SEED";
/// Longest time that a trouble lasts before the next one, in milliseconds.
const MAX_LULL_MS: u64 = 3_000;

/// Something that happens to a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// A router dies and is started again.
    Kill,
    /// A router is paused or goes on.
    Pause,
    /// Links of a router to its peers are cut or held.
    Isolate(LinkState),
    /// The link of a router to the platform is cut or held.
    Detach(LinkState),
    /// All links are open again.
    Heal,
    /// The platform fails in a way.
    Platform(&'static str),
    /// An engine crashes.
    Engine,
}

const TROUBLES: [Trouble; 12] = [
    Trouble::Kill,
    Trouble::Pause,
    Trouble::Pause,
    Trouble::Isolate(LinkState::Cut),
    Trouble::Isolate(LinkState::Held),
    Trouble::Detach(LinkState::Cut),
    Trouble::Detach(LinkState::Held),
    Trouble::Heal,
    Trouble::Platform(r#"{"mode":"down"}"#),
    Trouble::Platform(r#"{"mode":"lose-answers","path":"/v3/kv/txn","count":10}"#),
    Trouble::Platform(r#"{"mode":"ok"}"#),
    Trouble::Engine,
];

impl Runner {
    /// Hurts processes, links and the platform at random, then mends all.
    pub(super) async fn storm(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let given = args.number("seed")?;
        let seed = env::var(SEED_VARIABLE)
            .ok()
            .and_then(|seed| seed.parse().ok());
        let seed = seed.unwrap_or(given);
        let steps: u32 = args.number("steps")?;
        eprintln!("storm: seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let routers = self.cluster()?.names("router");
        let mut paused = Vec::new();
        for _ in 0..steps {
            let trouble = TROUBLES.choose(&mut rng).copied().unwrap_or(Trouble::Heal);
            let router = routers.choose(&mut rng).cloned().unwrap_or_default();
            eprintln!("storm: {trouble:?} {router}");
            self.trouble(trouble, &router, &mut paused).await?;
            let lull = rng.random_range(0..MAX_LULL_MS);
            tokio::time::sleep(Duration::from_millis(lull)).await;
        }
        for router in &paused {
            self.send_signal(router, Signal::Continue).await?;
        }
        self.heal()?;
        self.cluster()?.fault(PLATFORM, r#"{"mode":"ok"}"#).await?;
        for router in &routers {
            self.cluster()?.wait_ready(router).await?;
        }
        Ok("mended".to_owned())
    }

    async fn trouble(
        &mut self,
        trouble: Trouble,
        router: &str,
        paused: &mut Vec<String>,
    ) -> Result<(), ScenarioError> {
        let cluster = self.cluster()?;
        match trouble {
            Trouble::Kill => {
                self.send_signal(router, Signal::Kill).await?;
                self.ended(router).await?;
                paused.retain(|name| name != router);
                self.cluster_mut()?.start_process(router)?;
            }
            Trouble::Pause => match paused.iter().position(|name| name == router) {
                Some(index) => {
                    paused.remove(index);
                    self.send_signal(router, Signal::Continue).await?;
                }
                None => {
                    paused.push(router.to_owned());
                    self.send_signal(router, Signal::Stop).await?;
                }
            },
            Trouble::Isolate(state) => {
                for peer in cluster.names("router") {
                    cluster.links().set(router, &peer, state);
                }
            }
            Trouble::Detach(state) => cluster.links().set(router, PLATFORM, state),
            Trouble::Heal => cluster.links().heal(),
            Trouble::Platform(fault) => cluster.fault(PLATFORM, fault).await?,
            Trouble::Engine => {
                cluster
                    .fault("engine-1", r#"{"mode":"crash","ms":500}"#)
                    .await?;
            }
        }
        Ok(())
    }
}
