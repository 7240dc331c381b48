//! The envelope of an answer.

use {
    crate::claims::RecordableAnswer,
    fleet::{QueryAnswer, WireRows},
    kind::Ran,
    plan::CoverageReport,
    record::{IndexVersion, RecordVersion, Revision, Route},
    serde::Serialize,
};

/// The answer that a caller gets.
#[derive(Serialize)]
pub(crate) struct Envelope {
    request_id: String,
    record: RecordStated,
    snapshot: SnapshotStated,
    coverage: CoverageStated,
    results: Vec<WireRows>,
    #[serde(skip)]
    ran: Ran,
}

#[derive(Serialize)]
struct RecordStated {
    name: String,
    version: RecordVersion,
    revision: Revision,
}

#[derive(Serialize)]
struct SnapshotStated {
    service: String,
    index_version: IndexVersion,
}

#[derive(Serialize)]
struct CoverageStated {
    is_complete: bool,
    share: f64,
    #[serde(flatten)]
    report: CoverageReport,
}

impl Envelope {
    pub(crate) fn new(route: &Route, answer: QueryAnswer) -> Self {
        Self {
            request_id: answer.request_id,
            record: RecordStated {
                name: route.name.clone(),
                version: route.version,
                revision: answer.revision,
            },
            snapshot: SnapshotStated {
                service: route.service.clone(),
                index_version: answer.index_version,
            },
            coverage: CoverageStated {
                is_complete: answer.coverage.is_complete(),
                share: answer.coverage.share(),
                report: answer.coverage,
            },
            results: answer.rows,
            ran: answer.ran,
        }
    }

    /// Returns whether no shard is missing.
    pub(crate) fn is_complete(&self) -> bool {
        self.coverage.is_complete
    }
}

impl RecordableAnswer for Envelope {
    fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    fn ran(&self) -> Ran {
        self.ran
    }
}
