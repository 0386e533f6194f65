//! Messages of the cloud.

use std::sync::Arc;

use saltpitch_core::catalog::{Catalog, MachineType, Resources};
use saltpitch_core::scheduler::ListedMachine;
use serde::Deserialize;

use super::{milli, span, DecodeError};

/// What a machine type has whose entry does not say: the rate at which images are fetched, in gigabytes
/// a second, and the time until a machine is ready, in seconds.
const DEFAULT_FETCH_GB_PER_S: f64 = 0.1;
const DEFAULT_READY_S: f64 = 60.0;
/// The status of a machine that will never be ready.
const FAILED: &str = "failed";

#[derive(Deserialize)]
struct RawCatalog {
    hulls_list: Vec<RawMachineType>,
}

#[derive(Deserialize)]
struct RawMachineType {
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

#[derive(Deserialize)]
struct RawScaleOutReply {
    bollards: Vec<String>,
}

#[derive(Deserialize)]
struct RawMachinePage {
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

/// One page of the list of machines.
pub struct MachinePage {
    /// The machines, in the order of their names.
    pub machines: Vec<ListedMachine>,
    /// Whether machines follow on another page.
    pub has_next: bool,
}

/// A request for machines.
pub struct ScaleOutRequest<'a> {
    /// Names the request: its repetition has the same outcome.
    pub id: &'a str,
    /// The machine type.
    pub type_name: &'a str,
    /// The zone.
    pub zone: &'a str,
    /// Whether they are spot machines.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Reads the catalogue; types whose numbers make no sense are left out.
pub fn decode_catalog(body: &[u8]) -> Result<Catalog, DecodeError> {
    let raw: RawCatalog = serde_json::from_slice(body)?;
    let types = raw.hulls_list.into_iter().filter_map(machine_type);
    Ok(Catalog {
        types: types.collect(),
    })
}

fn machine_type(raw: RawMachineType) -> Option<MachineType> {
    Some(MachineType {
        size: Resources {
            cpu: milli(raw.cpus)?,
            gpu: milli(raw.accelerators.unwrap_or(0.0))?,
            mem: milli(raw.mem_gb)?,
        },
        cache_mb: milli(raw.cache_gb.unwrap_or(0.0))?,
        fetch_mb_per_s: milli(raw.fetch_gb_per_s.unwrap_or(DEFAULT_FETCH_GB_PER_S))?.max(1),
        price: milli(raw.rate)?,
        spot_price: milli(raw.low_price.unwrap_or(raw.rate))?,
        boot: span(raw.ready_s.unwrap_or(DEFAULT_READY_S))?,
        zones: raw.basins,
        name: raw.sku,
    })
}

/// Reads the answer to a request for machines: their names.
pub fn decode_scale_out_reply(body: &[u8]) -> Result<Vec<String>, DecodeError> {
    let raw: RawScaleOutReply = serde_json::from_slice(body)?;
    Ok(raw.bollards)
}

/// Reads one page of the list of machines.
pub fn decode_machine_page(body: &[u8]) -> Result<MachinePage, DecodeError> {
    let raw: RawMachinePage = serde_json::from_slice(body)?;
    Ok(MachinePage {
        machines: raw.bollards.into_iter().map(listed_machine).collect(),
        has_next: raw.has_next,
    })
}

fn listed_machine(raw: RawMachine) -> ListedMachine {
    ListedMachine {
        failed: raw.status == FAILED,
        name: raw.name,
        addr: raw.endpoint.unwrap_or_default(),
        type_name: raw.hull_type,
        zone: raw.basin,
        spot: raw.lay_by,
        age: raw.age_s.and_then(span).unwrap_or_default(),
    }
}

/// The request for machines.
pub fn encode_scale_out(request: &ScaleOutRequest<'_>) -> Vec<u8> {
    let body = serde_json::json!({
        "charter": request.id,
        "hull_type": request.type_name,
        "basin": request.zone,
        "lay_by": request.spot,
        "count": request.count,
    });
    body.to_string().into_bytes()
}

/// The request to return machines.
pub fn encode_scale_in(names: &[Arc<str>]) -> Vec<u8> {
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    serde_json::json!({ "bollards": names })
        .to_string()
        .into_bytes()
}

#[cfg(test)]
mod tests;
