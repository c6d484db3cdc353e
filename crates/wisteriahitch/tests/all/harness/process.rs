//! One process of ours, ended with its handle.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::wait_until;

/// Holds a running program; dropping it kills it.
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
}

fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    // The test binary lies in target/PROFILE/deps, the programs one folder up.
    let folder = test.parent().and_then(Path::parent).unwrap();
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{name} isn't built; run `cargo build --workspace --bins` first"
    );
    path
}

impl Process {
    /// Starts a program whose log goes to `log`.
    pub(crate) fn start(name: &str, arguments: &[String], log: PathBuf) -> Self {
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        let child = Command::new(program(name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .unwrap();
        Self { child, log }
    }

    /// Starts a stand-in and returns the address that it serves.
    pub(crate) fn start_standin(arguments: &[String], log: PathBuf) -> (Self, SocketAddr) {
        let mut process = Self::start("wisteriahitch-standin", arguments, log);
        let stdout = process.child.stdout.take().unwrap();
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let value: serde_json::Value = serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("{line:?}: {error}\n{}", process.read_log()));
        let address = value["listening"].as_str().unwrap().parse().unwrap();
        (process, address)
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id().cast_signed()), signal).unwrap();
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("a process to end", async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }

    /// Returns the memory that the process holds now.
    pub(crate) fn resident_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.unwrap().trim().trim_end_matches(" kB");
        kib.parse::<u64>().unwrap() * 1_024
    }

    /// Returns what the process has logged.
    pub(crate) fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
