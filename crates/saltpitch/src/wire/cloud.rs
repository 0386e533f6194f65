//! The cloud's words.

use saltpitch_core::catalog::{Catalog, MachineType, Resources};
use saltpitch_core::scheduler::ListedMachine;
use serde::Deserialize;

use super::{milli, span};

#[derive(Deserialize)]
struct RawCatalog {
    hulls_list: Vec<RawType>,
}

#[derive(Deserialize)]
struct RawType {
    sku: String,
    cpus: f64,
    #[serde(default)]
    accelerators: Option<f64>,
    mem_gb: f64,
    #[serde(default)]
    cache_gb: Option<f64>,
    #[serde(default)]
    fetch_gb_per_s: Option<f64>,
    rate: f64,
    #[serde(default)]
    low_price: Option<f64>,
    #[serde(default)]
    ready_s: Option<f64>,
    basins: Vec<String>,
}

/// Reads the catalogue; types that make no sense are left out.
pub fn catalog(body: &[u8]) -> Result<Catalog, String> {
    let raw: RawCatalog = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let types = raw
        .hulls_list
        .into_iter()
        .filter_map(|t| {
            Some(MachineType {
                size: Resources {
                    cpu: milli(t.cpus)?,
                    gpu: milli(t.accelerators.unwrap_or(0.0))?,
                    mem: milli(t.mem_gb)?,
                },
                cache_mb: milli(t.cache_gb.unwrap_or(0.0))?,
                fetch_mb_per_s: milli(t.fetch_gb_per_s.unwrap_or(0.1))?.max(1),
                price: milli(t.rate)?,
                spot_price: milli(t.low_price.unwrap_or(t.rate))?,
                boot: span(t.ready_s.unwrap_or(60.0))?,
                zones: t.basins,
                name: t.sku,
            })
        })
        .collect();
    Ok(Catalog { types })
}

#[derive(Deserialize)]
struct RawRented {
    bollards: Vec<String>,
}

pub fn rented(body: &[u8]) -> Result<Vec<String>, String> {
    serde_json::from_slice::<RawRented>(body)
        .map(|r| r.bollards)
        .map_err(|e| e.to_string())
}

#[derive(Deserialize)]
struct RawList {
    bollards: Vec<RawMachine>,
    #[serde(default)]
    has_next: bool,
}

#[derive(Deserialize)]
struct RawMachine {
    #[serde(rename = "ref")]
    name: String,
    #[serde(default)]
    endpoint: Option<String>,
    hull_type: String,
    basin: String,
    #[serde(default)]
    lay_by: bool,
    status: String,
    #[serde(default)]
    age_s: Option<f64>,
}

/// One page of the list, and whether there are more.
pub fn list(body: &[u8]) -> Result<(Vec<ListedMachine>, bool), String> {
    let raw: RawList = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let items = raw
        .bollards
        .into_iter()
        .map(|m| ListedMachine {
            failed: m.status == "failed",
            name: m.name,
            addr: m.endpoint.unwrap_or_default(),
            type_name: m.hull_type,
            zone: m.basin,
            spot: m.lay_by,
            age: m.age_s.and_then(span).unwrap_or_default(),
        })
        .collect();
    Ok((items, raw.has_next))
}

pub fn rent(request: &str, type_name: &str, zone: &str, spot: bool, count: u32) -> Vec<u8> {
    serde_json::json!({"charter": request, "hull_type": type_name, "basin": zone,
        "lay_by": spot, "count": count})
    .to_string()
    .into_bytes()
}

pub fn give_back(names: &[std::sync::Arc<str>]) -> Vec<u8> {
    let names: Vec<&str> = names.iter().map(|n| &**n).collect();
    serde_json::json!({ "bollards": names })
        .to_string()
        .into_bytes()
}
