//! A head together with the bodies that it names.
//!
//! Hosts keep the bundle of what is in force, so that a peer which starts
//! while the store is down can start from it, and so that a store which has
//! lost records can be given them back.

use {
    crate::{bad_field, Head, InForce, Record},
    kind::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// A head with all of its bodies.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bundle {
    /// The head.
    pub head: Head,
    /// Text of each body, by its key.
    pub bodies: BTreeMap<String, Arc<str>>,
}

/// A bundle on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireBundle {
    head: Head,
    bodies: Vec<WireBody>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct WireBody {
    key: String,
    text: String,
}

impl From<&Bundle> for WireBundle {
    fn from(bundle: &Bundle) -> Self {
        let bodies = bundle.bodies.iter().map(|(key, text)| WireBody {
            key: key.clone(),
            text: text.to_string(),
        });
        Self {
            head: bundle.head.clone(),
            bodies: bodies.collect(),
        }
    }
}

impl TryFrom<WireBundle> for Bundle {
    type Error = Error;

    fn try_from(wire: WireBundle) -> Result<Self> {
        let mut found: HashMap<String, String> = wire
            .bodies
            .into_iter()
            .map(|body| (body.key, body.text))
            .collect();
        let mut bodies = BTreeMap::new();
        for entry in &wire.head.entries {
            let text = found.remove(&entry.body_key);
            let known = bodies.contains_key(&entry.body_key);
            if let Some(text) = text {
                bodies.insert(entry.body_key.clone(), Arc::from(text));
            } else if !known {
                return Err(missing(&entry.body_key));
            }
        }
        Ok(Self {
            head: wire.head,
            bodies,
        })
    }
}

impl TryFrom<Bundle> for InForce {
    type Error = Error;

    fn try_from(bundle: Bundle) -> Result<Self> {
        let built = Self::build(&bundle.head, |entry| {
            let text = bundle
                .bodies
                .get(&entry.body_key)
                .ok_or_else(|| missing(&entry.body_key))?;
            let record = Record::from_json(text)?;
            if record.id() != entry.id {
                return Err(bad_field(&entry.body_key, format!("is not {}", entry.id)));
            }
            Ok(record)
        })?;
        Ok(built.with_bundle(bundle))
    }
}

fn missing(key: &str) -> Error {
    Error::new(Kind::BadRecord, format!("the body '{key}' is missing"))
}
