//! Fake service as a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanchute_fakes::service_main()
}
