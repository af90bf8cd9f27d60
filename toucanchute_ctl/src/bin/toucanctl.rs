//! Operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanchute_ctl::main()
}
