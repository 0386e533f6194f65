//! HTTP replies of the program and of the stand-ins.

use serde_json::{json, Value};

/// An HTTP reply with a JSON body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl Reply {
    /// Creates a reply with a body.
    pub fn new(status: u16, body: Value) -> Reply {
        Reply { status, body }
    }

    /// Creates a reply whose body is an empty JSON object.
    pub fn empty(status: u16) -> Reply {
        Reply::new(status, json!({}))
    }

    /// Creates a reply with an error body as the protocol defines it.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::new(status, json!({ "error": reason }))
    }
}
