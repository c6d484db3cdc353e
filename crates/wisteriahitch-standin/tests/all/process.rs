use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use serde_json::Value;
use tokio::sync::Mutex;

/// Locked while a process is started, and by tests whose stand-in must refuse connections.
///
/// Between fork and exec a new process has a copy of every socket of this one. A closed listener
/// therefore still accepts connections for a moment, which are then reset instead of refused.
pub(crate) static PROCESS_START_LOCK: Mutex<()> = Mutex::const_new(());

fn start(arguments: &[&str]) -> Child {
    let _starting = PROCESS_START_LOCK.blocking_lock();
    Command::new(env!("CARGO_BIN_EXE_wisteriahitch-standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn send_signal(signal: &str, pid: &str) {
    let _starting = PROCESS_START_LOCK.blocking_lock();
    let kill = Command::new("kill").args([signal, pid]).status();
    assert!(kill.unwrap().success());
}

#[test]
fn a_standin_prints_its_address_and_exits_on_a_signal() {
    struct Case {
        arguments: &'static [&'static str],
        signal: &'static str,
    }
    let cases = [
        Case {
            arguments: &["platform", "--writes-per-s", "10"],
            signal: "-TERM",
        },
        Case {
            arguments: &["service", "--listen", "127.0.0.1:0", "--work-ms", "1"],
            signal: "-INT",
        },
    ];
    for case in cases {
        let mut child = start(case.arguments);
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let announcement: Value = serde_json::from_str(&line).unwrap();
        let address: SocketAddr = announcement["listening"].as_str().unwrap().parse().unwrap();
        TcpStream::connect(address).unwrap();
        let pid = child.id().to_string();
        send_signal(case.signal, &pid);
        assert!(child.wait().unwrap().success(), "{:?}", case.arguments);
    }
}

#[test]
fn a_standin_listens_on_loopback_only() {
    let mut child = start(&["service", "--listen", "0.0.0.0:0"]);
    assert!(!child.wait().unwrap().success());
}
