//! The cloud, as this project uses it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use saltpitch_core::catalog::Catalog;
use saltpitch_core::leader::{ListedMachine, Rented};

use crate::budget::Budget;
use crate::clock::Clock;
use crate::http::{CallError, Client};
use crate::wire::cloud as wire;

pub struct Cloud {
    http: Arc<Client>,
    addr: SocketAddr,
    clock: Clock,
    budget: Mutex<Budget>,
}

impl Cloud {
    pub fn new(http: Arc<Client>, addr: SocketAddr, clock: Clock, rps: f64) -> Cloud {
        Cloud {
            http,
            addr,
            clock,
            // A little is left for the other controllers, who read the catalogue when they start.
            budget: Mutex::new(Budget::new(rps * 0.8)),
        }
    }

    fn may(&self) -> bool {
        let mut b = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        b.take(1.0, self.clock.now())
    }

    pub async fn catalog(&self) -> Option<Catalog> {
        if !self.may() {
            return None;
        }
        let r = self
            .http
            .call(
                self.addr,
                Method::GET,
                "/catalog",
                Vec::new(),
                Duration::from_secs(2),
            )
            .await
            .ok()?;
        if r.status != 200 {
            return None;
        }
        wire::catalog(&r.body)
            .map_err(|e| tracing::error!("cloud: unreadable catalogue: {e}"))
            .ok()
    }

    pub async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            if !self.may() {
                return None;
            }
            let path = match all.last() {
                Some(m) => format!("/machines?from={}&page=200", m.name),
                None => "/machines?page=200".to_owned(),
            };
            let r = self
                .http
                .call(
                    self.addr,
                    Method::GET,
                    &path,
                    Vec::new(),
                    Duration::from_secs(3),
                )
                .await
                .ok()?;
            if r.status != 200 {
                return None;
            }
            let (items, more) = wire::list(&r.body)
                .map_err(|e| tracing::error!("cloud: unreadable list: {e}"))
                .ok()?;
            let empty = items.is_empty();
            all.extend(items);
            if !more || empty {
                return Some(all);
            }
        }
    }

    pub async fn rent(
        &self,
        request: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> Rented {
        if !self.may() {
            return Rented::Later;
        }
        let body = wire::rent(request, type_name, zone, spot, count);
        let limit = Duration::from_secs(4);
        match self
            .http
            .call(self.addr, Method::POST, "/machines", body, limit)
            .await
        {
            Ok(r) if r.status == 200 => match wire::rented(&r.body) {
                Ok(names) => Rented::Machines(names),
                Err(_) => Rented::Unknown,
            },
            Ok(r)
                if r.status == 503 && String::from_utf8_lossy(&r.body).contains("no capacity") =>
            {
                Rented::NoCapacity
            }
            Ok(r) => {
                tracing::info!("cloud: rental refused with {}", r.status);
                Rented::Later
            }
            Err(CallError::NotSent) => Rented::Later,
            Err(CallError::Unknown) => Rented::Unknown,
        }
    }

    /// Whether the return was confirmed.
    pub async fn give_back(&self, names: &[Arc<str>]) -> bool {
        if !self.may() {
            return false;
        }
        let limit = Duration::from_secs(4);
        let body = wire::give_back(names);
        matches!(
            self.http.call(self.addr, Method::POST, "/machines/return", body, limit).await,
            Ok(r) if r.status == 200
        )
    }
}
