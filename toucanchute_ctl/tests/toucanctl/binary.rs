use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
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

/// Tells a stand-in how to fail.
pub(crate) fn fault(address: SocketAddr, body: &str) {
    let mut stream = TcpStream::connect(address).unwrap();
    let len = body.len();
    let head =
        format!("POST /fault HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}");
    stream
        .write_all(format!("{head}\r\n\r\n{body}").as_bytes())
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
