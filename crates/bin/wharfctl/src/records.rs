//! `wharfctl records`, `history`, `explain`, `diff` and `fleet`.

use {
    crate::{
        api::{Api, Call},
        check,
        table::{cell, Table},
    },
    anyhow::{Context, Result},
    clap::ArgMatches,
    http::StatusCode,
    serde_json::Value,
    std::collections::BTreeMap,
};

/// Prints the records in force.
pub(crate) async fn list(matches: &ArgMatches) -> Result<()> {
    let Some(head) = fetch(matches, "/v1/admin/records".to_owned()).await? else {
        return Ok(());
    };
    let mut table = Table::new(&["KIND", "NAME", "VERSION", "REVISION"]);
    for entry in rows(&head["entries"]) {
        let fields = ["kind", "name", "version", "revision"];
        table.row(fields.iter().map(|field| cell(&entry[field])).collect());
    }
    table.print();
    println!("head at revision {}", head["revision"]);
    Ok(())
}

/// Prints the last operations.
pub(crate) async fn history(matches: &ArgMatches) -> Result<()> {
    let limit: u64 = *matches.get_one("limit").context("--limit")?;
    let name = matches.get_one::<String>("name");
    let version = matches.get_one::<u32>("version");
    let path = match (name, version) {
        (Some(name), Some(version)) => {
            format!("/v1/admin/records/{name}/{version}/history?limit={limit}")
        }
        _ => format!("/v1/admin/history?limit={limit}"),
    };
    let Some(found) = fetch(matches, path).await? else {
        return Ok(());
    };
    let mut table = Table::new(&["REVISION", "ACTION", "RECORD", "OPERATOR", "OPERATION"]);
    let is_wanted = |operation: &&Value| {
        name.is_none_or(|name| operation["subject"]["name"].as_str() == Some(name))
    };
    for operation in rows(&found).iter().filter(is_wanted) {
        let subject = &operation["subject"];
        let record = match subject.is_null() {
            true => "all".to_owned(),
            false => format!(
                "{} {}/{}",
                cell(&subject["kind"]),
                cell(&subject["name"]),
                subject["version"]
            ),
        };
        table.row(vec![
            cell(&operation["revision"]),
            cell(&operation["action"]),
            record,
            cell(&operation["operator"]),
            cell(&operation["operation_id"]),
        ]);
    }
    table.print();
    Ok(())
}

/// Prints the plan of a query.
pub(crate) async fn explain(matches: &ArgMatches) -> Result<()> {
    let route = matches.get_one::<String>("route").context("route")?;
    let path = match matches.get_one::<u32>("version") {
        Some(version) => format!("/v1/admin/explain/{route}?version={version}"),
        None => format!("/v1/admin/explain/{route}"),
    };
    let Some(plan) = fetch(matches, path).await? else {
        return Ok(());
    };
    let (route, service) = (&plan["route"], &plan["service"]);
    println!(
        "route {}/{} at revision {}, service {}/{}, index version {}",
        cell(&route["name"]),
        route["version"],
        plan["revision"],
        cell(&service["name"]),
        service["version"],
        service["index_version"]
    );
    println!(
        "repeatable: {}, deadline {} ms (at most {} ms), least coverage {}",
        route["is_repeatable"],
        route["default_deadline_ms"],
        route["max_deadline_ms"],
        route["min_coverage_share"]
    );
    let relays: Vec<_> = rows(&plan["relays"]).iter().map(cell).collect();
    println!("relays: {}", relays.join(", "));
    let mut table = Table::new(&["SHARD", "SERVER", "ZONE"]);
    for shard in rows(&plan["shards"]) {
        for server in rows(&shard["servers"]) {
            let cells = [&shard["shard"], &server["addr"], &server["zone"]];
            table.row(cells.map(cell).to_vec());
        }
    }
    table.print();
    Ok(())
}

/// Compares files with the records in force.
pub(crate) async fn diff(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let raw = check::read(file)?;
        let path = format!("/v1/admin/records/{}/{}", raw.name, raw.version);
        let reply = api.send(&Call::get(path)).await?;
        let in_force = match reply.status {
            StatusCode::NOT_FOUND => Value::Null,
            _ => serde_json::from_str(&reply.success()?)?,
        };
        let wanted: Value = serde_json::from_str(&raw.to_json())?;
        let (old, new) = (flat(&in_force["record"]), flat(&wanted));
        match in_force["revision"].as_u64() {
            Some(revision) => println!("{file}: against revision {revision}"),
            None => println!("{file}: not in force yet"),
        }
        print_diff(&old, &new);
    }
    Ok(())
}

/// Prints the fleet.
pub(crate) async fn fleet(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    let call = Call::get("/v1/admin/fleet".to_owned());
    println!("{}", api.send(&call).await?.success()?);
    Ok(())
}

/// Fetches a document; with `--json` it is printed as it is and `None` returned.
async fn fetch(matches: &ArgMatches, path: String) -> Result<Option<Value>> {
    let api = Api::new(matches)?;
    let text = api.send(&Call::get(path)).await?.success()?;
    if matches.get_flag("json") {
        println!("{text}");
        return Ok(None);
    }
    Ok(Some(
        serde_json::from_str(&text).with_context(|| text.clone())?,
    ))
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

type Fields = BTreeMap<String, String>;

/// Lists every field by its path.
fn flat(value: &Value) -> Fields {
    let mut fields = Fields::new();
    collect("", value, &mut fields);
    fields
}

fn collect(path: &str, value: &Value, fields: &mut Fields) {
    match value {
        Value::Null => {}
        Value::Object(members) => {
            for (name, member) in members {
                let dot = if path.is_empty() { "" } else { "." };
                collect(&format!("{path}{dot}{name}"), member, fields);
            }
        }
        Value::Array(members) => {
            for (i, member) in members.iter().enumerate() {
                collect(&format!("{path}[{i}]"), member, fields);
            }
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}

fn print_diff(old: &Fields, new: &Fields) {
    if old == new {
        println!("  no difference");
    }
    let mut paths: Vec<_> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    for path in paths {
        let (before, after) = (old.get(path), new.get(path));
        if before == after {
            continue;
        }
        if let Some(before) = before {
            println!("  - {path} = {before}");
        }
        if let Some(after) = after {
            println!("  + {path} = {after}");
        }
    }
}
