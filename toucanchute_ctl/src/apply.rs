use std::{future::Future, time::Duration};

use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use toucanchute_proto::config::{Config, Head};
use toucanchute_settings::{AssembleError, ConfigChunk, HEAD_KEY, PackedConfig, chunk_key};
use toucanchute_store::{CasOutcome, Entry, Revision, Store, StoreError, WriteEffect};

use crate::{
    current::Current,
    diff::{Change, diff},
};

/// Most tries of one call to the platform.
const TRIES: u32 = 5;

/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(200);

/// What became of an apply that did not fail.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Accepted {
    /// The configuration is in force under a new version.
    New {
        /// Its version.
        version: u64,
        /// What differs from the one before.
        changes: Vec<Change>,
    },
    /// The configuration was in force already.
    Unchanged {
        /// Its version.
        version: u64,
    },
}

/// Why a configuration was not accepted.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum ApplyError {
    /// Another configuration was accepted first.
    #[snafu(display("{}", describe_lost(winner, *unsure)))]
    LostRace {
        /// Head of the configuration in force.
        winner: Box<Head>,
        /// What differs from the one in force to the one that lost.
        changes: Vec<Change>,
        /// Whether the one that lost may have been in force before the winner.
        unsure: bool,
    },
    /// The version in force is not the one that the operator expected.
    #[snafu(display("version {found} is in force, expected {expected}; look at the difference"))]
    Unexpected {
        /// Version that the operator named.
        expected: u64,
        /// Version in force, 0 if none is.
        found: u64,
    },
    /// The ledger's layout is fixed by the first apply.
    #[snafu(display("[ledger] {key} is fixed at {in_force} by the first apply, got {asked}"))]
    LedgerFixed {
        /// Key of the section.
        key: &'static str,
        /// Value in force.
        in_force: u64,
        /// Value of the files.
        asked: u64,
    },
    /// The platform cannot be reached.
    #[snafu(display("{source}{}", if *unsure { "; it may have been accepted, apply it again" } else { "" }))]
    Unreachable {
        /// Last failure.
        source: StoreError,
        /// Whether the configuration may have been accepted all the same.
        unsure: bool,
    },
    /// The head in force cannot be read.
    #[snafu(display("the head in force cannot be read: {source}"))]
    BrokenHead {
        /// Cause reported by the JSON reader.
        source: serde_json::Error,
    },
    /// A chunk of the configuration in force is gone.
    #[snafu(display("chunk {digest} of the configuration in force is gone"))]
    LostChunk {
        /// Its digest.
        digest: String,
    },
    /// The configuration in force is damaged.
    #[snafu(display("the configuration in force is damaged: {source}"))]
    Assemble {
        /// What is wrong with it.
        source: AssembleError,
    },
}

/// Puts a configuration in force: its chunks first, then the head by compare-and-swap.
///
/// It is accepted in full or not at all; the version rises by one. With `expected`, it is accepted
/// only over that version, 0 standing for none.
///
/// # Errors
///
/// Says why it was not accepted, or that this is not known because the platform did not answer.
pub async fn apply<S: Store>(
    store: &S,
    cfg: &Config,
    author: &str,
    expected: Option<u64>,
) -> Result<Accepted, ApplyError> {
    let current = Current::read(store).await?;
    let found = current.as_ref().map_or(0, |c| c.head.version);
    if let Some(expected) = expected {
        ensure!(expected == found, UnexpectedSnafu { expected, found });
    }
    let packed = PackedConfig::new(cfg);
    if let Some(current) = &current {
        check_ledger(&current.config, cfg)?;
        if current.head.digest == packed.digest {
            return Ok(Accepted::Unchanged { version: found });
        }
    }
    for chunk in &packed.chunks {
        put_chunk(store, chunk).await?;
    }
    let head = packed.head(found + 1, author);
    let revision = current.as_ref().map_or(Revision::ABSENT, |c| c.revision);
    swap_head(store, revision, &head, cfg).await?;
    let changes = current.map_or_else(Vec::new, |c| diff(&c.config, cfg));
    Ok(Accepted::New {
        version: head.version,
        changes,
    })
}

/// Calls the platform up to [`TRIES`] times; `call` has to be idempotent.
pub(crate) async fn retry<T, F>(call: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut tries = 1;
    loop {
        match call().await {
            Err(e) if tries < TRIES && !matches!(e, StoreError::NoEndpoint) => {
                log::debug!(error:% = e; "platform-call-failed");
            }
            result => return result,
        }
        tries += 1;
        tokio::time::sleep(PAUSE).await;
    }
}

fn check_ledger(old: &Config, new: &Config) -> Result<(), ApplyError> {
    let (old, new) = (&old.ledger, &new.ledger);
    let layout = [
        ("shards", u64::from(old.shards), u64::from(new.shards)),
        ("ring", u64::from(old.ring), u64::from(new.ring)),
    ];
    for (key, in_force, asked) in layout {
        let fixed = LedgerFixedSnafu {
            key,
            in_force,
            asked,
        };
        ensure!(in_force == asked, fixed);
    }
    Ok(())
}

/// Writes a chunk unless it is there whole; its key is the digest of its content.
async fn put_chunk<S: Store>(store: &S, chunk: &ConfigChunk) -> Result<(), ApplyError> {
    let key = chunk_key(&chunk.digest);
    let found = retry(|| store.get(&key)).await;
    let found = found.context(UnreachableSnafu { unsure: false })?;
    if found.is_some_and(|entry| entry.value == chunk.body) {
        return Ok(());
    }
    let put = retry(|| store.put(&key, chunk.body.clone().into(), None)).await;
    put.context(UnreachableSnafu { unsure: false })?;
    Ok(())
}

/// Moves the head from `revision`. A lost answer is resolved by trying again: the swap can take
/// effect once, and a conflict with our own head says that it did.
async fn swap_head<S: Store>(
    store: &S,
    revision: Revision,
    head: &Head,
    cfg: &Config,
) -> Result<(), ApplyError> {
    let value = serde_json::to_vec(head).unwrap_or_default();
    let mut unsure = false;
    let mut tries = 1;
    loop {
        match store.cas(HEAD_KEY, revision, value.clone().into()).await {
            Ok(CasOutcome::Applied { .. }) => return Ok(()),
            Ok(CasOutcome::Conflict {
                current: Some(entry),
            }) if entry.value == value => return Ok(()),
            Ok(CasOutcome::Conflict { current }) => {
                let winner = current.context(UnexpectedSnafu {
                    expected: head.version - 1,
                    found: 0_u64,
                })?;
                return lost_race(store, &winner, cfg, unsure).await;
            }
            Err(source) => {
                unsure |= source.write_effect() == WriteEffect::Unknown;
                if tries == TRIES {
                    return Err(ApplyError::Unreachable { source, unsure });
                }
            }
        }
        tries += 1;
        tokio::time::sleep(PAUSE).await;
    }
}

async fn lost_race<S: Store>(
    store: &S,
    winner: &Entry,
    cfg: &Config,
    unsure: bool,
) -> Result<(), ApplyError> {
    let winner = Current::from_head(store, winner).await?;
    Err(ApplyError::LostRace {
        changes: diff(&winner.config, cfg),
        winner: Box::new(winner.head),
        unsure,
    })
}

fn describe_lost(winner: &Head, unsure: bool) -> String {
    let lost = format!(
        "version {} by {} was accepted first; nothing of these files is in force",
        winner.version, winner.author
    );
    match unsure {
        true => format!("{lost} now, though it may have been before"),
        false => lost,
    }
}
