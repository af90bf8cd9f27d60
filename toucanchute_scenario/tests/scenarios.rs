//! Runs the scenarios in `tests/scenarios/`, each with its own processes.

use std::{
    path::Path,
    sync::{Condvar, Mutex},
};

use toucanchute_scenario::Runner;

/// Maximum number of scenarios that run concurrently.
const MAX_CONCURRENT: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static SCENARIO_ENDED: Condvar = Condvar::new();

/// Permission to run a scenario.
struct Permit;

impl Permit {
    fn acquire() -> Permit {
        let running = RUNNING.lock().unwrap();
        *SCENARIO_ENDED
            .wait_while(running, |running| *running >= MAX_CONCURRENT)
            .unwrap() += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) -= 1;
        SCENARIO_ENDED.notify_one();
    }
}

fn run(name: &str) {
    let _permit = Permit::acquire();
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut runner = Runner::new(&dir).unwrap();
    let file = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&file, |file| file.run(|case| runner.run(case)));
}

macro_rules! scenarios {
    ($($name:ident,)*) => {$(
        #[test]
        fn $name() {
            run(stringify!($name));
        }
    )*};
}

scenarios! {
    booking_once,
    budget_runs_out,
    budget_runs_out_in_partition,
    lost_answers,
    no_witness,
    orders,
    partition_with_top_up,
    platform_out,
    platform_out_light_load,
    platform_out_router_killed,
    platform_slow,
    platform_stopped,
    poison,
    replica_crash,
    rolling_restart,
    router_killed_mid_stream,
    routers_killed_under_load,
    storm,
    two_operators,
    two_writers,
    whole_path,
    withdrawal,
    writer_killed,
    writer_paused,
    wrong_answers,
}
