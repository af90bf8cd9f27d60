use std::{
    path::PathBuf,
    process::{Command, Output},
};

/// Runs `toucanctl` in the folder of examples.
pub(crate) fn toucanctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_toucanctl"))
        .args(args)
        .env("TOUCANCTL_TOKEN", "portones-operator")
        .current_dir(examples())
        .output()
        .unwrap()
}

pub(crate) fn stdout(output: &Output) -> &str {
    str::from_utf8(&output.stdout).unwrap()
}

pub(crate) fn stderr(output: &Output) -> &str {
    str::from_utf8(&output.stderr).unwrap()
}

fn examples() -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", "examples"]
        .iter()
        .collect()
}
