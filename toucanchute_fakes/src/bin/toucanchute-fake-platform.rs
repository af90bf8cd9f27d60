//! Fake platform as a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanchute_fakes::platform_main()
}
