//! Keeps the example records of the operators' pages valid.

use {
    record::Record,
    std::{collections::HashSet, fs, path::PathBuf},
};

const DEPLOYMENTS: [&str; 2] = ["tallapoosa", "landesamt"];

fn records(deployment: &str) -> Vec<Record> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../../docs/examples")
        .join(deployment);
    let files = fs::read_dir(dir).expect("the directory of the examples");
    files
        .map(|file| {
            let path = file.expect("a file").path();
            let text = fs::read_to_string(&path).expect("the text of a file");
            Record::from_toml(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
        })
        .collect()
}

#[test]
fn every_example_is_valid_and_every_route_finds_its_service() {
    for deployment in DEPLOYMENTS {
        let records = records(deployment);
        let services: HashSet<_> = records
            .iter()
            .filter_map(|record| match record {
                Record::Service(service) => Some(service.name.clone()),
                Record::Route(_) => None,
            })
            .collect();
        let mut routes = 0;
        for record in &records {
            if let Record::Route(route) = record {
                routes += 1;
                assert!(services.contains(&route.service), "{}", route.name);
            }
        }
        assert!(routes > 0, "{deployment}");
    }
}
