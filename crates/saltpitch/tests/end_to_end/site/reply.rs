//! Answers of the program and of the stand-ins.

use serde_json::{json, Value};

/// An HTTP answer in JSON.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl Reply {
    /// An answer with a body.
    pub fn new(status: u16, body: Value) -> Reply {
        Reply { status, body }
    }

    /// An answer without a body to speak of.
    pub fn empty(status: u16) -> Reply {
        Reply::new(status, json!({}))
    }

    /// A refusal.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::new(status, json!({ "error": reason }))
    }
}
