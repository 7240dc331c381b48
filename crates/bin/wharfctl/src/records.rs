//! `wharfctl records`, `history`, `explain`, `diff` and `fleet`.

use {
    crate::{
        api::{Api, ApiRequest},
        check,
        table::{cell, Table},
    },
    anyhow::{Context, Result},
    clap::ArgMatches,
    http::StatusCode,
    serde::Serialize,
    serde_json::{json, Value},
    std::collections::{BTreeMap, BTreeSet},
};

/// Prints the records in force.
pub(crate) async fn list(matches: &ArgMatches) -> Result<()> {
    let Some(head) = fetch(matches, "/v1/admin/records".to_owned()).await? else {
        return Ok(());
    };
    let mut table = Table::new(&["KIND", "NAME", "VERSION", "REVISION"]);
    for entry in elements(&head["entries"]) {
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
    let text = fetch_text(matches, path).await?;
    let mut history: Value = serde_json::from_str(&text).context(text)?;
    if let Some(operations) = history.as_array_mut() {
        let is_wanted = |name: &String, o: &Value| o["subject"]["name"].as_str() == Some(name);
        operations.retain(|operation| name.is_none_or(|name| is_wanted(name, operation)));
    }
    if matches.get_flag("json") {
        println!("{history}");
        return Ok(());
    }
    if elements(&history).is_empty() {
        println!("no matching operation within the last {limit} revisions");
        return Ok(());
    }
    let mut table = Table::new(&["REVISION", "ACTION", "RECORD", "OPERATOR", "OPERATION"]);
    for operation in elements(&history) {
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
    let relays: Vec<_> = elements(&plan["relays"]).iter().map(cell).collect();
    println!("relays: {}", relays.join(", "));
    let mut table = Table::new(&["SHARD", "SERVER", "ZONE"]);
    for shard in elements(&plan["shards"]) {
        for server in elements(&shard["servers"]) {
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
        let response = api.send(&ApiRequest::get(path)).await?;
        let in_force = match response.status {
            StatusCode::NOT_FOUND => Value::Null,
            _ => serde_json::from_str(&response.into_text()?)?,
        };
        let in_file: Value = serde_json::from_str(&raw.to_json())?;
        let (old, new) = (
            flatten_fields(&in_force["record"]),
            flatten_fields(&in_file),
        );
        let changes = changed_fields(&old, &new);
        if matches.get_flag("json") {
            let revision = &in_force["revision"];
            println!(
                "{}",
                json!({"file": file, "revision": revision, "changes": changes})
            );
            continue;
        }
        match in_force["revision"].as_u64() {
            Some(revision) => println!("{file}: against revision {revision}"),
            None => println!("{file}: not in force yet"),
        }
        print_changes(&changes);
    }
    Ok(())
}

/// Prints the hosts of the fleet as one host knows them.
pub(crate) async fn fleet(matches: &ArgMatches) -> Result<()> {
    let Some(fleet) = fetch(matches, "/v1/admin/fleet".to_owned()).await? else {
        return Ok(());
    };
    let in_force = &fleet["in_force"];
    println!(
        "as {} knows it: revision {} in force on {} of {} hosts",
        cell(&fleet["host"]),
        fleet["revision"],
        in_force["in_force"],
        in_force["members"]
    );
    let mut table = Table::new(&["HOST", "REGION", "ZONE", "PEER ADDRESS", "STATE"]);
    for member in elements(&fleet["members"]) {
        let mut states = Vec::new();
        if elements(&fleet["suspects"]).contains(&member["id"]) {
            states.push("does not answer");
        }
        if elements(&in_force["lagging"]).contains(&member["id"]) {
            states.push("lagging");
        }
        if states.is_empty() {
            states.push("ok");
        }
        let fields = ["id", "region", "zone", "peer_addr"];
        let mut cells: Vec<_> = fields.iter().map(|field| cell(&member[field])).collect();
        cells.push(states.join(", "));
        table.row(cells);
    }
    table.print();
    Ok(())
}

/// Fetches a JSON document; with `--json`, prints it unchanged and returns `None`.
async fn fetch(matches: &ArgMatches, path: String) -> Result<Option<Value>> {
    let text = fetch_text(matches, path).await?;
    if matches.get_flag("json") {
        println!("{text}");
        return Ok(None);
    }
    Ok(Some(serde_json::from_str(&text).context(text)?))
}

async fn fetch_text(matches: &ArgMatches, path: String) -> Result<String> {
    Api::new(matches)?
        .send(&ApiRequest::get(path))
        .await?
        .into_text()
}

/// Returns the elements of an array, or none if the value is not an array.
fn elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Leaf fields of a document, by path.
type Fields = BTreeMap<String, Value>;

/// A field that differs; a side that lacks the field is `None`.
#[derive(Serialize)]
struct FieldChange<'a> {
    path: &'a str,
    before: Option<&'a Value>,
    after: Option<&'a Value>,
}

/// Returns every leaf field of a document by its path.
fn flatten_fields(value: &Value) -> Fields {
    let mut fields = Fields::new();
    collect_fields("", value, &mut fields);
    fields
}

fn collect_fields(path: &str, value: &Value, fields: &mut Fields) {
    match value {
        Value::Null => {}
        Value::Object(members) => {
            for (name, member) in members {
                let dot = if path.is_empty() { "" } else { "." };
                collect_fields(&format!("{path}{dot}{name}"), member, fields);
            }
        }
        Value::Array(members) => {
            for (i, member) in members.iter().enumerate() {
                collect_fields(&format!("{path}[{i}]"), member, fields);
            }
        }
        other => {
            fields.insert(path.to_owned(), other.clone());
        }
    }
}

/// Returns the fields that differ.
fn changed_fields<'a>(old: &'a Fields, new: &'a Fields) -> Vec<FieldChange<'a>> {
    let paths: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let change = |path: &'a String| FieldChange {
        path,
        before: old.get(path),
        after: new.get(path),
    };
    let changes = paths.into_iter().map(change);
    changes.filter(|c| c.before != c.after).collect()
}

fn print_changes(changes: &[FieldChange<'_>]) {
    if changes.is_empty() {
        println!("  no difference");
    }
    for FieldChange {
        path,
        before,
        after,
    } in changes
    {
        if let Some(before) = before {
            println!("  - {path} = {before}");
        }
        if let Some(after) = after {
            println!("  + {path} = {after}");
        }
    }
}
