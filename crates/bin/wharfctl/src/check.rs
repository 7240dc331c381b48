//! `wharfctl check`: checks record files without a server.

use {
    anyhow::{ensure, Context, Result},
    clap::ArgMatches,
    record::{RawRecord, Record},
    serde_json::{json, Value},
    std::fs,
};

/// Checks every file and prints a line for each.
///
/// # Errors
///
/// Returns an error that counts the invalid files; the first does not hide the others.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let is_json = matches.get_flag("json");
    let files: Vec<_> = matches
        .get_many::<String>("file")
        .into_iter()
        .flatten()
        .collect();
    let mut invalid = 0;
    for file in &files {
        let checked = read(file);
        invalid += usize::from(checked.is_err());
        match (is_json, checked) {
            (true, checked) => println!("{}", stated(file, &checked)),
            (false, Ok(raw)) => println!("{file}: ok, {}/{}", raw.name, raw.version),
            (false, Err(error)) => eprintln!("{error:#}"),
        }
    }
    ensure!(
        invalid == 0,
        "{invalid} of {} files are invalid",
        files.len()
    );
    Ok(())
}

fn stated(file: &str, checked: &Result<RawRecord>) -> Value {
    match checked {
        Ok(raw) => json!({
            "file": file,
            "is_valid": true,
            "name": raw.name,
            "version": raw.version,
        }),
        Err(error) => json!({
            "file": file,
            "is_valid": false,
            "error": format!("{error:#}"),
        }),
    }
}

/// Reads and checks a record file.
///
/// # Errors
///
/// Returns an error that names the file and the field.
pub(crate) fn read(file: &str) -> Result<RawRecord> {
    let text = fs::read_to_string(file).with_context(|| file.to_owned())?;
    let raw = RawRecord::from_toml(&text).with_context(|| file.to_owned())?;
    Record::try_from(raw.clone()).with_context(|| file.to_owned())?;
    Ok(raw)
}
