//! Command line entry point of the router and the gateway.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = toucanchute_router::command().get_matches();
    match toucanchute_router::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("toucanchute-router: {e}");
            e.exit_code()
        }
    }
}
