//! The HTTP responses to users, agents and peer cells.

use std::time::Duration;

use poem::http::{HeaderValue, Method, StatusCode};
use poem::{Request, Response};
use serde_json::{json, Value};

use crate::users::{Unavailable, UserReply};
use crate::wire::users::encode_error;
use crate::wire::MAX_BODY_BYTES;

/// The time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The `Retry-After` of a 503 for which no other time is given, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Why a request is refused before it is processed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The path is not part of the interface.
    #[error("no such path")]
    NoSuchPath,
    /// The path contains no valid job id.
    #[error("no such job")]
    NoSuchJob,
    /// The path requires this method.
    #[error("method not allowed; use {0}")]
    WrongMethod(Method),
    /// The body cannot be read, or is too long.
    #[error("the body is unreadable or longer than 64 KiB")]
    UnreadableBody,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    SlowBody,
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::NoSuchPath | RequestError::NoSuchJob => StatusCode::NOT_FOUND,
            RequestError::WrongMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::UnreadableBody | RequestError::SlowBody => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the response with this error.
    pub fn response(&self) -> Response {
        refusal(self.status(), &self.to_string())
    }
}

/// Reads a request's body; fails if it is too long or does not arrive in time.
pub async fn read_body(request: &mut Request) -> Result<Vec<u8>, RequestError> {
    let read = request.take_body().into_bytes_limit(MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_vec()),
        Ok(Err(_)) => Err(RequestError::UnreadableBody),
        Err(_) => Err(RequestError::SlowBody),
    }
}

/// Returns a response whose body is encoded as JSON already.
pub fn encoded_json(status: u16, body: Vec<u8>) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body)
}

/// Returns a response in JSON. A 503 gets a `Retry-After` header.
pub fn json(status: StatusCode, body: &Value) -> Response {
    let mut response = encoded_json(status.as_u16(), body.to_string().into_bytes());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        set_retry_after(&mut response, RETRY_AFTER_S);
    }
    response
}

/// Returns a refusal with its reason.
pub fn refusal(status: StatusCode, reason: &str) -> Response {
    json(status, &encode_error(reason))
}

/// Returns a refusal with its reason and the number of seconds after which to retry.
pub fn refusal_with_retry(status: StatusCode, reason: &str, seconds: u64) -> Response {
    let mut response = refusal(status, reason);
    set_retry_after(&mut response, seconds);
    response
}

fn set_retry_after(response: &mut Response, seconds: u64) {
    response
        .headers_mut()
        .insert("retry-after", HeaderValue::from(seconds));
}

/// Returns the response to a user's request.
pub fn user_response(result: Result<UserReply, Unavailable>) -> Response {
    match result {
        Ok(reply) => {
            let status = StatusCode::from_u16(reply.status);
            json(
                status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
                &reply.body,
            )
        }
        Err(Unavailable) => unavailable(),
    }
}

/// Returns the response to a request that the controller cannot serve now. It is sent without delay, so that the
/// user retries instead of waiting.
pub fn unavailable() -> Response {
    refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "the state service is unavailable",
    )
}

/// Returns the response to a health check that passes.
pub fn healthy() -> Response {
    json(StatusCode::OK, &json!({"status": "up"}))
}

/// Returns the response to a health check while the controller cannot accept requests.
pub fn not_ready() -> Response {
    refusal(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
