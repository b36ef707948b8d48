//! The command line as a person meets it: help, exit codes, and where messages go.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

const VERBS: [&str; 10] = [
    "serve", "check", "init", "status", "events", "service", "account", "version", "move", "apply",
];

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_endivefork"))
        .args(args)
        .env_remove("ENDIVEFORK_ADMIN")
        .env_remove("ENDIVEFORK_OPERATOR_KEY")
        .output()
        .unwrap()
}

fn run_with_key(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_endivefork"))
        .args(args)
        .env("ENDIVEFORK_OPERATOR_KEY", "operator-key-not-to-be-shown")
        .output()
        .unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// An address where nothing listens.
fn nowhere() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

#[test]
fn help_names_every_verb_and_exit_code() {
    let help = run(&["--help"]);

    assert!(help.status.success());
    for verb in VERBS {
        assert!(
            out(&help).contains(&format!("\n  {verb} ")),
            "no {verb} in:\n{}",
            out(&help)
        );
    }
    for code in [
        "\n  1 ", "\n  2 ", "\n  3 ", "\n  4 ", "\n  5 ", "\n  6 ", "\n  7 ", "\n  10 ", "\n  11 ",
    ] {
        assert!(
            out(&help).contains(code),
            "no exit code {code:?} in:\n{}",
            out(&help)
        );
    }
}

#[test]
fn every_verb_has_help() {
    for verb in VERBS {
        let help = run(&[verb, "--help"]);
        assert!(help.status.success(), "{verb}: {}", err(&help));
        assert!(
            out(&help).starts_with(&format!("Usage: endivefork {verb}")),
            "{}",
            out(&help)
        );
    }
}

#[test]
fn a_wrong_command_line_ends_with_2() {
    for args in [
        &[][..],
        &["colour"],
        &["serve"],
        &["move", "start"],
        &["--admin", "x", "status"],
    ] {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", err(&output));
        assert!(out(&output).is_empty(), "{args:?} wrote to standard output");
    }
}

#[test]
fn serve_does_not_start_on_bad_settings_and_lists_all_findings() {
    let bad = file(
        "serve-bad.ini",
        "[instance]\nname = x\n[listen]\ncaller = here\n",
    );

    let output = run(&["serve", "--config", bad.to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(3));
    assert!(
        err(&output).contains("serve-bad.ini:4: bad value `here`"),
        "{}",
        err(&output)
    );
    assert!(
        err(&output).contains("`peers.key` is missing"),
        "{}",
        err(&output)
    );
    assert!(out(&output).is_empty());
}

#[test]
fn check_lists_the_findings_of_all_files_as_text_or_json() {
    let settings = file("check-1.ini", "[instance]\nname = \n");
    let services = file("check-2.ini", "[service s]\nkind = odd\nversion = v1\n");
    let files = [settings.to_str().unwrap(), services.to_str().unwrap()];

    let plain = run(&["check", files[0], files[1]]);
    let json = run(&["check", files[0], files[1], "--json"]);

    assert_eq!(plain.status.code(), Some(3));
    assert!(
        err(&plain).contains("check-1.ini:2: `instance.name` is empty"),
        "{}",
        err(&plain)
    );
    assert!(
        err(&plain).contains("check-2.ini:2: bad value `odd` of `kind`"),
        "{}",
        err(&plain)
    );
    let findings: serde_json::Value = serde_json::from_str(&out(&json)).unwrap();
    assert!(findings["findings"].as_array().unwrap().len() > 2);
    assert_eq!(json.status.code(), Some(3));
}

#[test]
fn check_lists_every_key_with_default_and_what_is_allowed() {
    let output = run(&["check", "--keys"]);

    assert!(output.status.success());
    for key in endivefork::settings::KEYS {
        assert!(out(&output).contains(&format!("[{}] {}: {}", key.section, key.name, key.about)));
    }
}

#[test]
fn administration_needs_an_address_and_a_key() {
    let no_address = run_with_key(&["status"]);
    let no_key = run(&["status", "--admin", "127.0.0.1:1"]);

    assert_eq!(no_address.status.code(), Some(1));
    assert!(err(&no_address).contains("--admin ADDR or ENDIVEFORK_ADMIN"));
    assert_eq!(no_key.status.code(), Some(1));
    assert!(err(&no_key).contains("--key-file FILE or ENDIVEFORK_OPERATOR_KEY"));
}

#[test]
fn an_instance_that_cannot_be_reached_is_named_without_the_key() {
    let addr = nowhere();

    let output = run_with_key(&["status", "--admin", &addr]);

    assert_eq!(output.status.code(), Some(1));
    assert!(err(&output).contains(&format!("could not reach the instance at {addr}")));
    assert!(!err(&output).contains("not-to-be-shown"));
}

#[test]
fn waiting_for_a_move_ends_when_the_time_is_up() {
    let addr = nowhere();

    let output = run_with_key(&["move", "wait", "s", "--timeout", "100ms", "--admin", &addr]);

    assert_eq!(output.status.code(), Some(11));
}
