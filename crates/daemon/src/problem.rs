//! Responses that entries and sidecars generate themselves, as problem details (RFC 9457).

use std::time::Duration;

use actix_web::{
    http::{header, StatusCode},
    HttpResponse,
};
use balsamjunction_protocol::{Outcome, Refusal, RequestId};
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};

/// Header with the known outcome of the request.
pub const OUTCOME_HEADER: &str = "balsam-outcome";
/// Header with the id of the request, which all of its attempts share.
pub const REQUEST_ID_HEADER: &str = "balsam-request-id";

/// The body of a response that was not received from an upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// URN of the kind of problem; see docs/API.md.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// Text that describes the kind.
    pub title: &'static str,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request ran, and whether the caller may send it again.
    pub detail: SmolStr,
    /// The known outcome of the request.
    pub outcome: Outcome,
    /// Id of the request.
    pub request_id: SmolStr,
    /// Time in milliseconds after which the caller may retry; only with a server error.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// A response that the process generates itself.
#[derive(Clone, Debug)]
pub struct ProblemResponse {
    /// Id of the request.
    pub request: RequestId,
    /// The known outcome of the request.
    pub outcome: Outcome,
    /// Why the request was refused; absent if the response of the upstream was lost.
    pub refusal: Option<Refusal>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// The HTTP status code of a refusal, or of a lost response.
fn status_of(refusal: Option<Refusal>) -> StatusCode {
    let Some(refusal) = refusal else {
        return StatusCode::BAD_GATEWAY;
    };
    match refusal {
        Refusal::BadRequest => StatusCode::BAD_REQUEST,
        Refusal::UnknownPool => StatusCode::NOT_FOUND,
        Refusal::KeyInProgress | Refusal::KeyUnknown | Refusal::AnswerNotKept => {
            StatusCode::CONFLICT
        }
        Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::CrashesUpstreams => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::DeadlinePassed | Refusal::DeadlineTooClose => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title_of(refusal: Option<Refusal>) -> &'static str {
    match refusal {
        None => "The answer was lost",
        Some(Refusal::Overloaded) => "The upstreams are fully loaded",
        Some(Refusal::DeadlineTooClose) => "The deadline cannot be met",
        Some(Refusal::DeadlinePassed) => "The deadline has passed",
        Some(Refusal::Draining) => "The upstream is leaving service",
        Some(Refusal::VersionUnavailable) => "No upstream serves the version",
        Some(Refusal::UpstreamDown) => "The upstream does not accept connections",
        Some(Refusal::CrashesUpstreams) => "The request crashes upstreams",
        Some(Refusal::KeyInProgress) => "A request with this key is running",
        Some(Refusal::KeyUnknown) => "A request with this key may have run",
        Some(Refusal::AnswerNotKept) => "The request ran; its answer was not kept",
        Some(Refusal::NotKeyOwner) => "The key's owner is changing",
        Some(Refusal::KeyOwnerUnreachable) => "An earlier owner of the key cannot be reached",
        Some(Refusal::BodyTooLarge) => "The body is too large for a request that runs at most once",
        Some(Refusal::NoUpstream) => "No upstream can be reached",
        Some(Refusal::UnknownPool) => "The pool does not exist",
        Some(Refusal::BadRequest) => "The request is malformed",
        Some(Refusal::NotReady) => "The process has no declaration yet",
    }
}

fn advice_of(problem_response: &ProblemResponse) -> &'static str {
    match problem_response.outcome {
        Outcome::Ran => "the request ran; do not send it again",
        Outcome::NotRun => "the request did not run; it may be sent again",
        Outcome::Unknown => {
            "the request may have run; send it again only if it may be repeated, or with the same idempotency key"
        }
    }
}

/// Builds the HTTP response with its problem details.
pub fn build_response(problem_response: &ProblemResponse) -> HttpResponse {
    let status = status_of(problem_response.refusal);
    let retry_after = problem_response
        .retry_after
        .filter(|_| status.is_server_error());
    let name = problem_response
        .refusal
        .map_or("answer-lost", <&'static str>::from);
    let problem = Problem {
        kind: format_smolstr!("urn:balsamjunction:problem:{name}"),
        title: title_of(problem_response.refusal),
        status: status.as_u16(),
        detail: advice_of(problem_response).into(),
        outcome: problem_response.outcome,
        request_id: format_smolstr!("{}", problem_response.request),
        retry_after_ms: retry_after.map(|t| t.as_millis() as u64),
    };
    let mut response = HttpResponse::build(status);
    response
        .insert_header((header::CONTENT_TYPE, "application/problem+json"))
        .insert_header((
            OUTCOME_HEADER,
            <&'static str>::from(problem_response.outcome),
        ))
        .insert_header((REQUEST_ID_HEADER, problem.request_id.as_str()));
    if let Some(retry_after) = retry_after {
        let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
        response.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    response.body(body)
}
