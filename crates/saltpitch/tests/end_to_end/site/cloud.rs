//! The cloud.

use poem::http::Method;
use saltpitch_core::catalog::Resources;
use saltpitch_core::Micros;
use saltpitch_testkit::agents::Agent;
use serde_json::{json, Value};

use super::agents::{agent_call, work};
use super::http::{free_addr, serve};
use super::{Reply, Shared};

pub async fn cloud_call(site: Shared, method: Method, uri: String, body: Value) -> Reply {
    let path = uri.split('?').next().unwrap_or_default();
    match (method, path) {
        (Method::GET, "/catalog") => (
            200,
            json!({"hulls_list": [{"sku": "box", "cpus": 8, "accelerators": 1, "mem_gb": 32,
                "cache_gb": 50, "fetch_gb_per_s": 1.0, "rate": 1.0, "low_price": 0.4,
                "ready_s": 1, "basins": ["a", "b"]}]}),
        ),
        (Method::GET, "/machines") => {
            let s = site.lock().expect("lock");
            let mut list: Vec<Value> = s
                .agents
                .values()
                .filter(|w| !w.gone)
                .map(|w| {
                    json!({"ref": w.name, "endpoint": s.addrs[&w.name].to_string(),
                        "hull_type": "box", "basin": w.zone, "lay_by": w.spot,
                        "status": "running", "age_s": 5.0})
                })
                .collect();
            list.sort_by_key(|m| m["ref"].to_string());
            (200, json!({"bollards": list, "has_next": false}))
        }
        (Method::POST, "/machines") => rent(&site, &body),
        (Method::POST, "/machines/return") => {
            let mut s = site.lock().expect("lock");
            for n in body["bollards"].as_array().into_iter().flatten() {
                if let Some(w) = s.agents.get_mut(n.as_str().unwrap_or_default()) {
                    w.gone = true;
                }
            }
            (200, json!({}))
        }
        _ => (404, json!({})),
    }
}

fn rent(site: &Shared, body: &Value) -> Reply {
    let mut names = Vec::new();
    for _ in 0..body["count"].as_u64().unwrap_or(0).min(2) {
        let mut s = site.lock().expect("lock");
        let there = s.agents.values().filter(|w| !w.gone).count();
        if there >= s.max_machines {
            break;
        }
        let name = format!("vm-{:06}", s.agents.len());
        let addr = free_addr();
        let now = s.now();
        let agent = Agent {
            name: name.clone(),
            type_name: "box".to_owned(),
            zone: body["basin"].as_str().unwrap_or_default().to_owned(),
            spot: body["lay_by"].as_bool().unwrap_or(false),
            size: Resources {
                cpu: 8_000,
                gpu: 1_000,
                mem: 32_000,
            },
            slow: false,
            boots_at: now,
            gone: false,
            hung_until: Micros::ZERO,
            inbound_cut_until: Micros::ZERO,
            outbound_cut_until: Micros::ZERO,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            lease_from: now,
            notice: None,
            tasks: Default::default(),
            target: 0,
            next_report: Micros::ZERO,
            waiting: None,
            changed: false,
        };
        s.agents.insert(name.clone(), agent);
        s.addrs.insert(name.clone(), addr);
        drop(s);
        let (shared, me) = (site.clone(), name.clone());
        serve(addr, move |_, uri, body| {
            let (site, me) = (shared.clone(), me.clone());
            async move { agent_call(&site, &me, &uri, &body) }
        });
        tokio::spawn(work(site.clone(), name.clone()));
        names.push(name);
    }
    if names.is_empty() {
        return (503, json!({"error": "no capacity"}));
    }
    (200, json!({ "bollards": names }))
}
