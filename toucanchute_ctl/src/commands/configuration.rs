use std::{net::SocketAddr, path::Path};

use serde::Serialize;
use snafu::ResultExt as _;
use toucanchute_settings::load_folder;
use toucanchute_store::{Client, ClientSettings};

use super::compare::list;
use crate::{
    apply::{Accepted, ApplyError, apply},
    current::Current,
    diff::{Change, diff},
    error::{ApplySnafu, Error, FilesSnafu},
    output::Output,
};

/// What `apply` prints as JSON.
#[derive(Debug, Serialize)]
struct Applied<'a> {
    version: u64,
    accepted: bool,
    changes: &'a [Change],
}

/// Applies the configuration of a folder as a whole.
pub(crate) async fn apply_folder(
    folder: &Path,
    platform: Vec<SocketAddr>,
    author: &str,
    expected: Option<u64>,
    out: Output,
) -> Result<(), Error> {
    let cfg = load_folder(folder).context(FilesSnafu)?;
    let client = Client::new(ClientSettings::new(platform));
    let accepted = match apply(&client, &cfg, author, expected).await {
        Ok(accepted) => accepted,
        Err(e) => {
            print_lost_race(&e, out)?;
            return Err(e).context(ApplySnafu);
        }
    };
    match accepted {
        Accepted::Unchanged { version } => {
            let applied = applied(version, false, &[]);
            out.write(&applied, &format!("version {version} is in force already"))
        }
        Accepted::New { version, changes } => {
            let applied = applied(version, true, &changes);
            let text = match version {
                1 => "version 1 accepted, the first one".to_owned(),
                _ => format!("version {version} accepted\n{}", list(&changes)),
            };
            out.write(&applied, &text)
        }
    }
}

/// Prints the differences from the configuration in force to that of a folder.
pub(crate) async fn diff_platform(
    folder: &Path,
    platform: Vec<SocketAddr>,
    out: Output,
) -> Result<(), Error> {
    let cfg = load_folder(folder).context(FilesSnafu)?;
    let client = Client::new(ClientSettings::new(platform));
    let current = Current::read(&client).await.context(ApplySnafu)?;
    let Some(current) = current else {
        let none = applied(0, false, &[]);
        return out.write(&none, "no configuration is in force");
    };
    let changes = diff(&current.config, &cfg);
    let version = current.head.version;
    let text = format!(
        "version {version} by {}\n{}",
        current.head.author,
        list(&changes)
    );
    out.write(&applied(version, false, &changes), &text)
}

/// Prints the differences from the configuration that was accepted first to the one that was not
/// accepted.
fn print_lost_race(err: &ApplyError, out: Output) -> Result<(), Error> {
    match err {
        ApplyError::LostRace {
            winner, changes, ..
        } => {
            let text = format!(
                "from version {} to these files:\n{}",
                winner.version,
                list(changes)
            );
            out.write(&applied(winner.version, false, changes), &text)
        }
        _ => Ok(()),
    }
}

fn applied(version: u64, accepted: bool, changes: &[Change]) -> Applied<'_> {
    Applied {
        version,
        accepted,
        changes,
    }
}
