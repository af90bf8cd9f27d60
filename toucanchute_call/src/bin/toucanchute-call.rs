//! Reference caller and load tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanchute_call::main()
}
