//! Responses of the listeners for users, agents and peer cells.

use std::time::Duration;

use poem::http::{HeaderValue, Method, StatusCode};
use poem::{Request, Response};
use serde_json::{json, Value};

use crate::users::{Unavailable, UserReply};
use crate::wire::users::encode_error;
use crate::wire::MAX_BODY_BYTES;

/// How long the body of a request may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// When to come back after a 503 that says nothing else, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Why a request is refused before it is served.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// Nothing is served at this path.
    #[error("no such path")]
    NoSuchPath,
    /// The path does not name a job.
    #[error("no such job")]
    NoSuchJob,
    /// The path takes another method.
    #[error("use {0}")]
    WrongMethod(Method),
    /// The body cannot be read, or is too long.
    #[error("the body is unreadable or longer than 64 KiB")]
    UnreadableBody,
    /// The body did not arrive in time.
    #[error("the body took too long")]
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

    /// The response that says so.
    pub fn response(&self) -> Response {
        refusal(self.status(), &self.to_string())
    }
}

/// Reads a request's body, unless it is too long or too slow.
pub async fn read_body(request: &mut Request) -> Result<Vec<u8>, RequestError> {
    let read = request.take_body().into_bytes_limit(MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_vec()),
        Ok(Err(_)) => Err(RequestError::UnreadableBody),
        Err(_) => Err(RequestError::SlowBody),
    }
}

/// A response whose body is JSON already.
pub fn raw(status: u16, body: Vec<u8>) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body)
}

/// A response in JSON. A 503 says when to come back.
pub fn json(status: StatusCode, body: &Value) -> Response {
    let mut response = raw(status.as_u16(), body.to_string().into_bytes());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        set_retry_after(&mut response, RETRY_AFTER_S);
    }
    response
}

/// A refusal with its reason.
pub fn refusal(status: StatusCode, reason: &str) -> Response {
    json(status, &encode_error(reason))
}

/// A refusal with its reason and the number of seconds after which to come back.
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

/// The answer to a user's request.
pub fn reply(result: Result<UserReply, Unavailable>) -> Response {
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

/// The answer to a request that the controller cannot serve now. It comes at once, so that the user
/// retries instead of waiting.
pub fn unavailable() -> Response {
    refusal(StatusCode::SERVICE_UNAVAILABLE, "the state service is away")
}

/// The answer to a health check that passes.
pub fn healthy() -> Response {
    json(StatusCode::OK, &json!({"status": "up"}))
}

/// The answer to a health check before the controller can take requests.
pub fn not_ready() -> Response {
    refusal(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
