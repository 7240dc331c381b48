//! Checks that the example records in the documentation are valid.

use {
    record::Record,
    std::{collections::HashSet, fs, path::PathBuf},
};

const DEPLOYMENTS: [&str; 3] = ["tallapoosa", "landesamt", "local"];

fn records(deployment: &str) -> Vec<Record> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../../docs/examples")
        .join(deployment);
    let dir_entries = fs::read_dir(dir).expect("the example directory should be readable");
    dir_entries
        .map(|dir_entry| {
            let path = dir_entry
                .expect("the directory entry should be readable")
                .path();
            let text = fs::read_to_string(&path).expect("the example file should be readable");
            Record::from_toml(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
        })
        .collect()
}

#[test]
fn examples_are_valid_and_their_routes_refer_to_existing_services() {
    for deployment in DEPLOYMENTS {
        let records = records(deployment);
        let service_names: HashSet<_> = records
            .iter()
            .filter_map(|record| match record {
                Record::Service(service) => Some(service.name.clone()),
                Record::Route(_) => None,
            })
            .collect();
        let mut route_count = 0;
        for record in &records {
            if let Record::Route(route) = record {
                route_count += 1;
                assert!(service_names.contains(&route.service), "{}", route.name);
            }
        }
        assert!(route_count > 0, "{deployment}");
    }
}
