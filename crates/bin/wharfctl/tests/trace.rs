//! `wharfctl trace` on JSON log lines with the prefix of a log collector.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

const LINES: &str = r#"
  2.33 front-2 {"cause":"hedge","expected_ms":44,"id":"5bae","part":"call","server":"i-14","service":"nohu","text":"A further server is called.","time":"2026-09-17T04:54:10.338Z"}
  2.29 front-1 {"cause":"hedge","expected_ms":38,"id":"5bae","part":"call","server":"i-64","service":"gofi","text":"A further server is called.","time":"2026-09-17T04:54:10.296Z"}
  2.40 front-1 {"detail":"nohu not-awaited","id":"5bae","missing":1,"outcome":"partial","part":"request","status":200,"text":"Request ended.","time":"2026-09-17T04:54:10.406Z","took_ms":139}
  2.41 front-1 {"id":"77c0","part":"call","reason":"lost","text":"A call failed.","time":"2026-09-17T04:54:10.410Z"}
not of a log
"#;

fn trace(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wharfctl"))
        .arg("trace")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("wharfctl starts");
    let mut stdin = child.stdin.take().expect("standard input is a pipe");
    stdin.write_all(input.as_bytes()).expect("wharfctl reads");
    drop(stdin);
    child.wait_with_output().expect("wharfctl ends")
}

#[test]
fn the_lines_of_a_request_are_printed_in_order_of_time() {
    let output = trace(&["--id", "5bae"], LINES);
    assert!(output.status.success());
    let printed = String::from_utf8_lossy(&output.stdout);
    let printed: Vec<&str> = printed.lines().collect();
    assert_eq!(printed.len(), 3);
    assert!(printed[0].contains("service=gofi") && printed[2].contains("detail=nohu not-awaited"));
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("1 lines"));
}

#[test]
fn a_summary_counts_outcomes_and_reasons() {
    let output = trace(&["--summary"], LINES);
    let printed = String::from_utf8_lossy(&output.stdout);
    let expected = "request partial: 1\nfailed call lost: 1\nmissing shard not-awaited: 1\n";
    assert_eq!(printed, expected);
}

#[test]
fn bad_input_gets_a_clear_error() {
    let cases = [
        (
            vec!["--id", "0000"],
            LINES,
            "no line speaks of request 0000",
        ),
        (
            vec!["--summary"],
            "nothing\n",
            "no line of 1 is one of a log in JSON",
        ),
        (
            vec!["--summary", "no-such-file"],
            "",
            "no-such-file cannot be opened",
        ),
    ];
    for (arguments, input, expected) in cases {
        let output = trace(&arguments, input);
        assert!(!output.status.success(), "{arguments:?}");
        let printed = String::from_utf8_lossy(&output.stderr);
        assert!(printed.contains(expected), "{arguments:?}: {printed}");
    }
}
