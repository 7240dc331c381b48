//! The JSON document that answers a query.

use {
    crate::claims::RecordableAnswer,
    fleet::{QueryAnswer, WireRows},
    kind::Ran,
    plan::CoverageReport,
    record::{IndexVersion, RecordVersion, Revision, Route},
    serde::Serialize,
};

/// The body of an answered query, with the rows and the versions they came from.
#[derive(Serialize)]
pub(crate) struct Envelope {
    request_id: String,
    record: RecordInfo,
    snapshot: SnapshotInfo,
    coverage: CoverageInfo,
    results: Vec<WireRows>,
    #[serde(skip)]
    ran: Ran,
}

#[derive(Serialize)]
struct RecordInfo {
    name: String,
    version: RecordVersion,
    revision: Revision,
}

#[derive(Serialize)]
struct SnapshotInfo {
    service: String,
    index_version: IndexVersion,
}

#[derive(Serialize)]
struct CoverageInfo {
    is_complete: bool,
    share: f64,
    #[serde(flatten)]
    report: CoverageReport,
}

impl Envelope {
    pub(crate) fn new(route: &Route, answer: QueryAnswer) -> Self {
        Self {
            request_id: answer.request_id,
            record: RecordInfo {
                name: route.name.clone(),
                version: route.version,
                revision: answer.revision,
            },
            snapshot: SnapshotInfo {
                service: route.service.clone(),
                index_version: answer.index_version,
            },
            coverage: CoverageInfo {
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
