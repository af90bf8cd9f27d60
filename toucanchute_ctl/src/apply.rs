use std::{future::Future, time::Duration};

use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use toucanchute_proto::config::{Config, Head};
use toucanchute_settings::{AssembleError, ConfigChunk, HEAD_KEY, PackedConfig, chunk_key};
use toucanchute_store::{CasOutcome, Entry, Revision, Store, StoreError, WriteEffect};

use crate::{
    current::Current,
    diff::{Change, diff},
};

/// Number of attempts of one call to the platform.
const MAX_ATTEMPTS: u32 = 5;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of an apply that did not fail.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Accepted {
    /// The configuration is in force under a new version.
    New {
        /// The new version.
        version: u64,
        /// Differences from the previous configuration.
        changes: Vec<Change>,
    },
    /// The same configuration was already in force.
    Unchanged {
        /// The version in force.
        version: u64,
    },
}

/// Why a configuration was not accepted.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum ApplyError {
    /// Another configuration was accepted first.
    #[snafu(display("{}", describe_lost_race(winner, *maybe_accepted)))]
    LostRace {
        /// Head of the configuration in force.
        winner: Box<Head>,
        /// Differences from the configuration in force to the one that was not accepted.
        changes: Vec<Change>,
        /// Whether the one that was not accepted may have been in force before the winner.
        maybe_accepted: bool,
    },
    /// The version in force is not the one that the operator expected.
    #[snafu(display("version {found} is in force, expected {expected}; look at the difference"))]
    Unexpected {
        /// Version that the operator named.
        expected: u64,
        /// Version in force, 0 if none is.
        found: u64,
    },
    /// The ledger's layout, which the first apply fixes, differs.
    #[snafu(display("[ledger] {key} is fixed at {in_force} by the first apply, got {requested}"))]
    LedgerFixed {
        /// Setting of the `[ledger]` section.
        key: &'static str,
        /// Value in force.
        in_force: u64,
        /// Value in the files.
        requested: u64,
    },
    /// The platform cannot be reached.
    #[snafu(display("{source}{}", if *maybe_accepted { "; it may have been accepted, apply it again" } else { "" }))]
    Unreachable {
        /// Failure of the last attempt.
        source: StoreError,
        /// Whether the configuration may have been accepted nevertheless.
        maybe_accepted: bool,
    },
    /// The head of the configuration in force is malformed.
    #[snafu(display("cannot parse the head of the configuration in force: {source}"))]
    MalformedHead {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A chunk of the configuration in force is missing.
    #[snafu(display("chunk {digest} of the configuration in force is missing in the platform"))]
    MissingChunk {
        /// Digest of the chunk.
        digest: String,
    },
    /// The chunks of the configuration in force do not form a valid configuration.
    #[snafu(display("the configuration in force is corrupt: {source}"))]
    Assemble {
        /// Cause.
        source: AssembleError,
    },
}

/// Puts a configuration in force: writes its chunks first, then replaces the head by
/// compare-and-swap.
///
/// It is accepted as a whole or not at all, with the next version. If `expected` is given, it is
/// accepted only if that version is in force; 0 means that none is.
///
/// # Errors
///
/// Returns why it was not accepted, or that this is unknown because the platform did not answer.
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

/// Calls the platform up to [`MAX_ATTEMPTS`] times; `call` has to be idempotent.
pub(crate) async fn retry<T, F>(call: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut attempts = 1;
    loop {
        match call().await {
            Err(e) if attempts < MAX_ATTEMPTS && !matches!(e, StoreError::NoEndpoint) => {
                log::debug!(error:% = e; "platform-call-failed");
            }
            result => return result,
        }
        attempts += 1;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn check_ledger(old: &Config, new: &Config) -> Result<(), ApplyError> {
    let (old, new) = (&old.ledger, &new.ledger);
    let layout = [
        ("shards", u64::from(old.shards), u64::from(new.shards)),
        ("ring", u64::from(old.ring), u64::from(new.ring)),
    ];
    for (key, in_force, requested) in layout {
        let fixed = LedgerFixedSnafu {
            key,
            in_force,
            requested,
        };
        ensure!(in_force == requested, fixed);
    }
    Ok(())
}

/// Writes a chunk unless the platform has it unchanged. Its key is the digest of its content.
async fn put_chunk<S: Store>(store: &S, chunk: &ConfigChunk) -> Result<(), ApplyError> {
    let key = chunk_key(&chunk.digest);
    let found = retry(|| store.get(&key)).await;
    let found = found.context(UnreachableSnafu {
        maybe_accepted: false,
    })?;
    if found.is_some_and(|entry| entry.value == chunk.body) {
        return Ok(());
    }
    let put = retry(|| store.put(&key, chunk.body.clone().into(), None)).await;
    put.context(UnreachableSnafu {
        maybe_accepted: false,
    })?;
    Ok(())
}

/// Replaces the head of `revision` by `head`. If the answer is lost, the call is repeated: it can
/// take effect only once, and a conflict with the new head itself shows that it did.
async fn swap_head<S: Store>(
    store: &S,
    revision: Revision,
    head: &Head,
    cfg: &Config,
) -> Result<(), ApplyError> {
    let value = serde_json::to_vec(head).unwrap_or_default();
    let mut maybe_accepted = false;
    let mut attempts = 1;
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
                return lost_race(store, &winner, cfg, maybe_accepted).await;
            }
            Err(source) => {
                maybe_accepted |= source.write_effect() == WriteEffect::Unknown;
                if attempts == MAX_ATTEMPTS {
                    return Err(ApplyError::Unreachable {
                        source,
                        maybe_accepted,
                    });
                }
            }
        }
        attempts += 1;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn lost_race<S: Store>(
    store: &S,
    winner: &Entry,
    cfg: &Config,
    maybe_accepted: bool,
) -> Result<(), ApplyError> {
    let winner = Current::from_head(store, winner).await?;
    Err(ApplyError::LostRace {
        changes: diff(&winner.config, cfg),
        winner: Box::new(winner.head),
        maybe_accepted,
    })
}

fn describe_lost_race(winner: &Head, maybe_accepted: bool) -> String {
    let lost = format!(
        "version {} by {} was accepted first; nothing of these files is in force",
        winner.version, winner.author
    );
    match maybe_accepted {
        true => format!("{lost} now, though it may have been before"),
        false => lost,
    }
}
