//! `wharfctl check`: checks record files without a server.

use {
    anyhow::{Context, Result},
    clap::ArgMatches,
    record::{RawRecord, Record},
    std::fs,
};

/// Checks every file and prints a line for each.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let raw = read(file)?;
        println!("{file}: ok, {}/{}", raw.name, raw.version);
    }
    Ok(())
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
