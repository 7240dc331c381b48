//! Settings: checks at start, and the table of the operators' page.

use {
    anyhow::{Context, Result},
    fakes::process::run_program,
    std::{collections::BTreeSet, fs, path::Path},
};

const GOOD: &[&str] = &[
    "--host-id=h",
    "--region=r",
    "--zone=z",
    "--platform-addr=127.0.0.1:1",
    "--admin-token=long-enough",
];

/// A bad flag and what the error has to name.
const BAD: &[(&str, &[&str])] = &[
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
fn a_bad_value_ends_the_process_with_an_error_that_names_it() {
    for (flag, named) in BAD {
        let name = flag.split('=').next().unwrap_or(flag);
        let mut arguments: Vec<_> = GOOD
            .iter()
            .copied()
            .filter(|good| !good.starts_with(&format!("{name}=")))
            .collect();
        arguments.push(flag);
        let error = run_program("wharf", &arguments)
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        for text in *named {
            assert!(error.contains(text), "{flag} should name {text}: {error}");
        }
    }
}

#[test]
fn the_page_lists_exactly_the_flags_and_variables() -> Result<()> {
    let help = run_program("wharf", &["--help"])?;
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../docs/operators/running.md");
    let page = fs::read_to_string(page).context("the operators' page is missing")?;
    let table: String = page
        .lines()
        .filter(|line| line.starts_with("| `--"))
        .collect();
    let mut of_help = words(&help, "--");
    of_help.remove("--help");
    of_help.remove("--version");
    assert_eq!(of_help, words(&table, "--"));
    assert_eq!(words(&help, "WHARF_"), words(&table, "WHARF_"));
    Ok(())
}

/// Returns the words of `text` that begin with `prefix`.
fn words(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_part = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    text.split(|c| !is_part(c))
        .filter(|word| word.starts_with(prefix) && word.len() > prefix.len())
        .map(str::to_owned)
        .collect()
}
