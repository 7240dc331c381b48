//! A head together with the record bodies that it refers to.
//!
//! Hosts keep the bundle of the records in force. A peer that starts while the
//! store is down can load its configuration from it, and records that the
//! store has lost can be written back to it.

use {
    crate::{invalid_field, Head, InForce, Record},
    kind::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// A head and the bodies of all its entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bundle {
    /// Head that refers to the bodies.
    pub head: Head,
    /// JSON text of each body, by key.
    pub bodies: BTreeMap<String, Arc<str>>,
}

/// Wire format of a [`Bundle`].
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
        let mut texts: HashMap<String, String> = wire
            .bodies
            .into_iter()
            .map(|body| (body.key, body.text))
            .collect();
        let mut bodies = BTreeMap::new();
        for entry in &wire.head.entries {
            let text = texts.remove(&entry.body_key);
            let is_present = bodies.contains_key(&entry.body_key);
            if let Some(text) = text {
                bodies.insert(entry.body_key.clone(), Arc::from(text));
            } else if !is_present {
                return Err(missing_body(&entry.body_key));
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
        let snapshot = Self::build(&bundle.head, |entry| {
            let text = bundle
                .bodies
                .get(&entry.body_key)
                .ok_or_else(|| missing_body(&entry.body_key))?;
            let record = Record::from_json(text)?;
            if record.id() != entry.id {
                return Err(invalid_field(
                    &entry.body_key,
                    format!("the body does not contain {}", entry.id),
                ));
            }
            Ok(record)
        })?;
        Ok(snapshot.with_bundle(bundle))
    }
}

fn missing_body(key: &str) -> Error {
    Error::new(Kind::BadRecord, format!("the body '{key}' is missing"))
}
