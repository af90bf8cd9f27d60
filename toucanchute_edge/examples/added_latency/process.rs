use std::fs;

/// Microseconds per tick of the operating system's CPU times.
const TICK_MICROS: u64 = 10_000;
/// Position of the user time among the fields after a thread's name in its `stat` file.
const USER_TIME_FIELD: usize = 11;

/// Returns the CPU time of this process's threads whose name starts with `name`, in microseconds.
pub(crate) fn cpu_micros(name: &str) -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the list of threads");
    let stats = tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("stat")).ok());
    stats
        .filter_map(|stat| thread_ticks(&stat, name))
        .sum::<u64>()
        * TICK_MICROS
}

/// Returns the resident memory of this process, in kilobytes.
pub(crate) fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or_default()
}

fn thread_ticks(stat: &str, name: &str) -> Option<u64> {
    let (_, rest) = stat.split_once('(')?;
    let (thread, rest) = rest.rsplit_once(')')?;
    if !thread.starts_with(name) {
        return None;
    }
    let mut fields = rest.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}
