//! Validation of settings at startup, and the table of settings on the operators' page.

use {
    anyhow::{Context, Result},
    fakes::process::run_program,
    std::{collections::BTreeSet, fs, path::Path},
};

const VALID_FLAGS: &[&str] = &[
    "--host-id=h",
    "--region=r",
    "--zone=z",
    "--platform-addr=127.0.0.1:1",
    "--admin-token=long-enough",
];

/// Invalid flags, each with the texts that its error must contain.
const INVALID_FLAGS: &[(&str, &[&str])] = &[
    ("--host-id=a b", &["--host-id", "'a b'", "letters"]),
    ("--zone=", &["--zone", "''", "letters"]),
    (
        "--entry-addr=localhost:1",
        &["--entry-addr", "localhost:1", "IP number"],
    ),
    (
        "--peer-addr=1.2.3.4",
        &["--peer-addr", "1.2.3.4", "IP number"],
    ),
    ("--admin-addr=x", &["--admin-addr", "'x'", "IP number"]),
    (
        "--platform-addr=store:80",
        &["--platform-addr", "store:80", "IP number"],
    ),
    ("--admin-token=short", &["--admin-token", "8 characters"]),
    (
        "--balancer-lag-ms=9999999",
        &["--balancer-lag-ms", "9999999", "60000"],
    ),
    ("--balancer-lag-ms=soon", &["--balancer-lag-ms", "soon"]),
    (
        "--max-body-bytes=0",
        &["--max-body-bytes", "0", "1 and more"],
    ),
    ("--log-format=xml", &["--log-format", "xml", "json"]),
    ("--no-such-flag=1", &["--no-such-flag"]),
];

#[test]
fn an_invalid_flag_exits_with_an_error_that_names_it() {
    for (flag, expected_texts) in INVALID_FLAGS {
        let name = flag.split('=').next().unwrap_or(flag);
        let mut arguments: Vec<_> = VALID_FLAGS
            .iter()
            .copied()
            .filter(|valid| !valid.starts_with(&format!("{name}=")))
            .collect();
        arguments.push(flag);
        let error = run_program("wharf", &arguments)
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        for text in *expected_texts {
            assert!(
                error.contains(text),
                "the error of {flag} lacks {text}: {error}"
            );
        }
    }
}

#[test]
fn the_operators_page_lists_exactly_the_flags_and_variables() -> Result<()> {
    let help = run_program("wharf", &["--help"])?;
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../docs/operators/running.md");
    let page = fs::read_to_string(page).context("the operators' page is missing")?;
    let table: String = page
        .lines()
        .filter(|line| line.starts_with("| `--"))
        .collect();
    let mut help_flags = words_with_prefix(&help, "--");
    help_flags.remove("--help");
    help_flags.remove("--version");
    assert_eq!(help_flags, words_with_prefix(&table, "--"));
    assert_eq!(
        words_with_prefix(&help, "WHARF_"),
        words_with_prefix(&table, "WHARF_")
    );
    Ok(())
}

/// Returns the words of `text` that start with `prefix`.
fn words_with_prefix(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_word_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    text.split(|c| !is_word_char(c))
        .filter(|word| word.starts_with(prefix) && word.len() > prefix.len())
        .map(str::to_owned)
        .collect()
}
