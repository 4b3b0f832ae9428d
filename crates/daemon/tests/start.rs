//! Starts the daemon as a process: invalid arguments and settings must end it before it serves.

use std::{
    fs,
    net::TcpListener,
    process::{Command, Output},
};

const ENTRY: &str = r#"{
    "host": "e1",
    "data_centre": "addis-a",
    "inner_listen": "127.0.0.1:0",
    "listen": "127.0.0.1:0",
    "config_service": "127.0.0.1:1",
    "membership": "127.0.0.1:1"
}"#;

fn run_daemon(name: &str, settings: &str, args: &[&str]) -> Output {
    let file = format!("balsamjunctiond-{}-{name}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, settings).expect("the file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_balsamjunctiond"))
        .args(args)
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("the daemon runs");
    let _ = fs::remove_file(path);
    output
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn faulty_settings_end_the_daemon_with_every_fault() {
    let settings = ENTRY
        .replace("\"listen\"", "\"lsiten\"")
        .replace("127.0.0.1:1\"\n", "nowhere\"\n");

    let output = run_daemon("faulty", &settings, &["entry"]);

    let errors = stderr_text(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(errors.contains("did you mean \"listen\"?"), "{errors}");
    assert!(
        errors.contains("field \"membership\" is \"nowhere\""),
        "{errors}"
    );
}

#[test]
fn a_port_in_use_ends_the_daemon_with_its_address() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("it has an address").to_string();
    let set = format!("listen={address}");

    let output = run_daemon("taken", ENTRY, &["entry", "--set", &set]);

    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_text(&output).contains(&format!("cannot listen on {address}")));
}

#[test]
fn usage_errors_exit_with_two() {
    let role = run_daemon("role", ENTRY, &["entyr"]);
    let level = run_daemon("level", ENTRY, &["entry", "--log", "loud"]);
    let set = run_daemon("set", ENTRY, &["entry", "--set", "listen"]);

    for output in [&role, &level, &set] {
        assert_eq!(output.status.code(), Some(2), "{}", stderr_text(output));
    }
    assert!(stderr_text(&role).contains("did you mean \"entry\"?"));
}
