//! Failures of commands, with their messages and exit codes.

use {
    anyhow::Error,
    serde::Deserialize,
    serde_json::json,
    std::{fmt, process::ExitCode},
};

/// Exit codes, as `wharfctl --help` lists them.
pub(crate) const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed; nothing was changed by the refused call
  2  bad usage: a flag or an argument is malformed
  3  conflict: another change came first
  4  outcome not known; repeat under the same --operation-id
  5  accepted, but not in force everywhere within --wait-timeout-ms";

/// Exit code of a failure without a specific one.
const FAILED: u8 = 1;
const CONFLICT: u8 = 3;
const OUTCOME_UNKNOWN: u8 = 4;
const NOT_IN_FORCE_EVERYWHERE: u8 = 5;

/// A failure with a specific kind and exit code.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The host refused the request.
    Refused(Problem),
    /// The connection failed, so nothing was sent.
    Unreachable(String),
    /// The outcome was still unknown after the last attempt.
    OutcomeUnknown {
        /// ID with which to repeat the operation.
        operation_id: String,
        /// Error of the last attempt.
        last_error: String,
    },
    /// The change is committed, but not yet in force on every host.
    NotInForceEverywhere(String),
}

/// The fields of a problem document that are used here.
#[derive(Debug, Deserialize)]
pub(crate) struct Problem {
    title: String,
    detail: String,
    kind: String,
    ran: String,
}

impl Failure {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(problem) if problem.ran == "unknown" => OUTCOME_UNKNOWN,
            Self::Refused(problem) if problem.kind == "conflict" => CONFLICT,
            Self::Refused(_) | Self::Unreachable(_) => FAILED,
            Self::OutcomeUnknown { .. } => OUTCOME_UNKNOWN,
            Self::NotInForceEverywhere(_) => NOT_IN_FORCE_EVERYWHERE,
        }
    }

    fn kind(&self) -> &str {
        match self {
            Self::Refused(problem) => &problem.kind,
            Self::Unreachable(_) => "unreachable",
            Self::OutcomeUnknown { .. } => "outcome-unknown",
            Self::NotInForceEverywhere(_) => "not-in-force-everywhere",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(problem) => problem.fmt(f),
            Self::Unreachable(detail) => write!(f, "{detail}; nothing was sent"),
            Self::OutcomeUnknown {
                operation_id,
                last_error,
            } => write!(
                f,
                "outcome unknown; repeat with --operation-id {operation_id}: {last_error}"
            ),
            Self::NotInForceEverywhere(summary) => write!(f, "accepted, but {summary}"),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.title, self.detail, self.kind)?;
        match self.kind.as_str() {
            "bad-token" => write!(f, "; set --admin-token or WHARF_ADMIN_TOKEN"),
            _ => Ok(()),
        }
    }
}

impl std::error::Error for Failure {}

/// Prints the error of a command and returns its exit code.
pub(crate) fn report(error: &Error, is_json: bool) -> ExitCode {
    let failure = error.chain().find_map(|cause| cause.downcast_ref());
    let exit_code = failure.map_or(FAILED, Failure::exit_code);
    if is_json {
        let line = json!({
            "error": format!("{error:#}"),
            "kind": failure.map(Failure::kind),
            "exit_code": exit_code,
        });
        eprintln!("{line}");
    } else {
        eprintln!("error: {error:#}");
    }
    ExitCode::from(exit_code)
}
