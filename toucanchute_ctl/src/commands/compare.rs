use std::path::Path;

use snafu::ResultExt as _;
use toucanchute_settings::load_folder;

use crate::{
    diff::{Change, diff},
    error::{Error, FilesSnafu},
    output::Output,
};

/// Compares the configurations of two folders.
pub(crate) fn compare(old: &Path, new: &Path, out: Output) -> Result<(), Error> {
    let old = load_folder(old).context(FilesSnafu)?;
    let new = load_folder(new).context(FilesSnafu)?;
    let changes = diff(&old, &new);
    out.write(&changes, &list(&changes))
}

/// Returns one line for each change.
pub(crate) fn list(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "no differences".to_owned();
    }
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
