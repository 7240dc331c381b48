//! `wharfctl check`: validates record files without a server.

use {
    anyhow::{ensure, Context, Result},
    clap::ArgMatches,
    record::{RawRecord, Record},
    serde_json::{json, Value},
    std::fs,
};

/// Validates every file and prints a line for each.
///
/// # Errors
///
/// Returns an error with the number of invalid files. All files are read, also after
/// an invalid one.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let is_json = matches.get_flag("json");
    let files: Vec<_> = matches
        .get_many::<String>("file")
        .into_iter()
        .flatten()
        .collect();
    let mut invalid = 0;
    for file in &files {
        let result = read(file);
        invalid += usize::from(result.is_err());
        match (is_json, result) {
            (true, result) => println!("{}", result_json(file, &result)),
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

/// Returns the result of one file as JSON.
fn result_json(file: &str, result: &Result<RawRecord>) -> Value {
    match result {
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

/// Reads and validates a record file.
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
