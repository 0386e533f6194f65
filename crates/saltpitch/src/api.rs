//! The HTTP interface: users, agents and health checks.

use std::sync::Arc;

use poem::http::{HeaderValue, Method, StatusCode};
use poem::{Endpoint, Request, Response};
use saltpitch_core::messages::UserRequest;
use serde_json::{json, Value};

use crate::node::Node;
use crate::users::Unavailable;
use crate::wire::{users, MAX_BODY};

/// Every path and method in one place.
pub struct Api(pub Arc<Node>);

impl Endpoint for Api {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        Ok(self.route(req).await)
    }
}

impl Api {
    async fn route(&self, mut req: Request) -> Response {
        let path = req.uri().path().to_owned();
        let method = req.method().clone();
        match path.as_str() {
            "/up" => {
                if method != Method::GET && method != Method::HEAD {
                    return refuse(StatusCode::METHOD_NOT_ALLOWED, "use GET");
                }
                if self.0.is_up() {
                    answer(StatusCode::OK, &json!({"status": "up"}))
                } else {
                    refuse(StatusCode::SERVICE_UNAVAILABLE, "not ready")
                }
            }
            "/v1/report" => {
                if method != Method::POST {
                    return refuse(StatusCode::METHOD_NOT_ALLOWED, "use POST");
                }
                if let Some(from) = req.remote_addr().as_socket_addr() {
                    self.0.connections.is_worker(from);
                }
                match body(&mut req).await {
                    Ok(b) => {
                        let reply = self.0.report(&b);
                        let mut r = raw(reply.status, reply.body);
                        if self.0.connections.crowded() {
                            r.headers_mut()
                                .insert("connection", HeaderValue::from_static("close"));
                        }
                        r
                    }
                    Err(r) => r,
                }
            }
            "/v2/runs" => {
                if method != Method::POST {
                    return refuse(StatusCode::METHOD_NOT_ALLOWED, "use POST");
                }
                match body(&mut req).await {
                    Ok(b) => self.user(UserRequest::Submit(b)).await,
                    Err(r) => r,
                }
            }
            _ => match path.strip_prefix("/v2/runs/") {
                Some(rest) => self.one_job(rest, &method).await,
                None => refuse(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    async fn one_job(&self, rest: &str, method: &Method) -> Response {
        let (id, want, op): (&str, Method, fn(String) -> UserRequest) = match rest.split_once('/') {
            None => (rest, Method::GET, UserRequest::Query),
            Some((id, "abort")) => (id, Method::POST, UserRequest::Cancel),
            Some(_) => return refuse(StatusCode::NOT_FOUND, "no such path"),
        };
        if *method != want {
            return refuse(StatusCode::METHOD_NOT_ALLOWED, &format!("use {want}"));
        }
        if !users::is_job_id(id) {
            return refuse(StatusCode::NOT_FOUND, "no such job");
        }
        self.user(op(id.to_owned())).await
    }

    async fn user(&self, request: UserRequest) -> Response {
        match self.0.user_request(request).await {
            Ok(reply) => answer(
                StatusCode::from_u16(reply.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
                &reply.body,
            ),
            // Answered at once: the user is told when to come back.
            Err(Unavailable) => {
                refuse(StatusCode::SERVICE_UNAVAILABLE, "the state service is away")
            }
        }
    }
}

/// A request's body, or the answer to one that is too long or too slow.
pub async fn body(req: &mut Request) -> Result<Vec<u8>, Response> {
    let read = req.take_body().into_bytes_limit(MAX_BODY);
    match tokio::time::timeout(std::time::Duration::from_secs(5), read).await {
        Ok(Ok(b)) => Ok(b.to_vec()),
        Ok(Err(_)) => Err(refuse(
            StatusCode::BAD_REQUEST,
            "the body is unreadable or longer than 64 KiB",
        )),
        Err(_) => Err(refuse(StatusCode::BAD_REQUEST, "the body took too long")),
    }
}

fn raw(status: u16, body: Vec<u8>) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body)
}

/// An answer in JSON. 503 says when to come back.
pub fn answer(status: StatusCode, body: &Value) -> Response {
    let mut r = raw(status.as_u16(), body.to_string().into_bytes());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        r.headers_mut()
            .insert("retry-after", HeaderValue::from_static("1"));
    }
    r
}

/// A refusal with the time after which to come back.
pub fn answer_later(status: StatusCode, reason: &str, seconds: u64) -> Response {
    let mut response = refuse(status, reason);
    response
        .headers_mut()
        .insert("retry-after", HeaderValue::from(seconds));
    response
}

/// A refusal with its reason.
pub fn refuse(status: StatusCode, reason: &str) -> Response {
    answer(status, &json!({ "error": reason }))
}
