use std::{io, path::PathBuf};

use snafu::Snafu;

/// Error that ends the program.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("cannot read log {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("cannot write to standard output: {source}"))]
    Output { source: io::Error },
}
