//! The HTTP interface for users, agents and health checks.

use std::sync::Arc;

use poem::http::{HeaderValue, Method};
use poem::{Endpoint, Request, Response};
use saltpitch_core::messages::UserRequest;

use crate::node::Node;
use crate::responses::{encoded_json, healthy, not_ready, read_body, user_response, RequestError};
use crate::wire::users::is_job_id;

/// Routes requests by path and method.
pub struct Api(pub Arc<Node>);

impl Endpoint for Api {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let routed = self.route(request).await;
        Ok(routed.unwrap_or_else(|error| error.response()))
    }
}

impl Api {
    async fn route(&self, mut request: Request) -> Result<Response, RequestError> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match path.as_str() {
            "/up" => {
                if method != Method::GET && method != Method::HEAD {
                    return Err(RequestError::WrongMethod(Method::GET));
                }
                Ok(self.health())
            }
            "/v1/report" => {
                require_method(&method, Method::POST)?;
                self.heartbeat(&mut request).await
            }
            "/v2/runs" => {
                require_method(&method, Method::POST)?;
                let body = read_body(&mut request).await?;
                Ok(self.user_request(UserRequest::Submit(body)).await)
            }
            _ => match path.strip_prefix("/v2/runs/") {
                Some(path) => self.job_request(path, &method).await,
                None => Err(RequestError::NoSuchPath),
            },
        }
    }

    fn health(&self) -> Response {
        if self.0.is_up() {
            healthy()
        } else {
            not_ready()
        }
    }

    async fn heartbeat(&self, request: &mut Request) -> Result<Response, RequestError> {
        let connections = &self.0.connections;
        if let Some(from) = request.remote_addr().as_socket_addr() {
            connections.mark_agent(from);
        }
        let body = read_body(request).await?;
        let reply = self.0.answer_heartbeat(&body);
        let mut response = encoded_json(reply.status, reply.body);
        if connections.is_nearly_full() {
            response
                .headers_mut()
                .insert("connection", HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Serves a query or cancellation of one job; `path` is the part after `/v2/runs/`.
    async fn job_request(&self, path: &str, method: &Method) -> Result<Response, RequestError> {
        let (id, operation) = match path.split_once('/') {
            None => (path, JobOperation::Query),
            Some((id, "abort")) => (id, JobOperation::Cancel),
            Some(_) => return Err(RequestError::NoSuchPath),
        };
        require_method(method, operation.method())?;
        if !is_job_id(id) {
            return Err(RequestError::NoSuchJob);
        }
        let request = operation.request(id.to_owned());
        Ok(self.user_request(request).await)
    }

    async fn user_request(&self, request: UserRequest) -> Response {
        user_response(self.0.serve_user_request(request).await)
    }
}

/// The operations of users on one job.
enum JobOperation {
    Query,
    Cancel,
}

impl JobOperation {
    fn method(&self) -> Method {
        match self {
            JobOperation::Query => Method::GET,
            JobOperation::Cancel => Method::POST,
        }
    }

    fn request(&self, id: String) -> UserRequest {
        match self {
            JobOperation::Query => UserRequest::Query(id),
            JobOperation::Cancel => UserRequest::Cancel(id),
        }
    }
}

/// Refuses a request with any other method than the expected one.
fn require_method(method: &Method, expected: Method) -> Result<(), RequestError> {
    if *method == expected {
        Ok(())
    } else {
        Err(RequestError::WrongMethod(expected))
    }
}
