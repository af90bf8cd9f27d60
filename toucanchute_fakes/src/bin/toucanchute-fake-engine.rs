//! Fake model engine as a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanchute_fakes::engine_main()
}
