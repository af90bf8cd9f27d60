//! Merges the event logs of all processes into one timeline.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanchute_timeline::main()
}
