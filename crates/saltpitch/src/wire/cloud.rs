//! Messages to and from the cloud's API.

use std::sync::Arc;

use saltpitch_core::catalog::{Catalog, MachineType, Resources};
use saltpitch_core::scheduler::ListedMachine;
use serde::Deserialize;

use super::{to_duration, to_thousandths, DecodeError};

/// The rate at which machines fetch images, in gigabytes a second, if the catalogue does not say.
const DEFAULT_FETCH_GB_PER_S: f64 = 0.1;
/// The time until a new machine is ready, in seconds, if the catalogue does not say.
const DEFAULT_READY_S: f64 = 60.0;
/// The status of a machine that will never be ready.
const FAILED_STATUS: &str = "failed";

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

/// One page of the cloud's list of machines.
pub struct MachinePage {
    /// The machines, in the order of their names.
    pub machines: Vec<ListedMachine>,
    /// Whether there is another page.
    pub has_next: bool,
}

/// An order for new machines.
pub struct ScaleOutRequest<'a> {
    /// Identifies the request: a repeated request has the same outcome and orders nothing twice.
    pub id: &'a str,
    /// The machine type.
    pub type_name: &'a str,
    /// The zone.
    pub zone: &'a str,
    /// Whether to order spot machines.
    pub spot: bool,
    /// The number of machines.
    pub count: u32,
}

/// Decodes the catalogue. Types with a negative, too large or non-finite number are left out.
pub fn decode_catalog(body: &[u8]) -> Result<Catalog, DecodeError> {
    let raw: RawCatalog = serde_json::from_slice(body)?;
    let types = raw.hulls_list.into_iter().filter_map(decode_machine_type);
    Ok(Catalog {
        types: types.collect(),
    })
}

fn decode_machine_type(raw: RawMachineType) -> Option<MachineType> {
    Some(MachineType {
        size: Resources {
            cpu: to_thousandths(raw.cpus)?,
            gpu: to_thousandths(raw.accelerators.unwrap_or(0.0))?,
            mem: to_thousandths(raw.mem_gb)?,
        },
        cache_mb: to_thousandths(raw.cache_gb.unwrap_or(0.0))?,
        fetch_mb_per_s: to_thousandths(raw.fetch_gb_per_s.unwrap_or(DEFAULT_FETCH_GB_PER_S))?
            .max(1),
        price: to_thousandths(raw.rate)?,
        spot_price: to_thousandths(raw.low_price.unwrap_or(raw.rate))?,
        boot: to_duration(raw.ready_s.unwrap_or(DEFAULT_READY_S))?,
        zones: raw.basins,
        name: raw.sku,
    })
}

/// Decodes the names of the machines in the answer to an order.
pub fn decode_scale_out_reply(body: &[u8]) -> Result<Vec<String>, DecodeError> {
    let raw: RawScaleOutReply = serde_json::from_slice(body)?;
    Ok(raw.bollards)
}

/// Decodes one page of the cloud's list of machines.
pub fn decode_machine_page(body: &[u8]) -> Result<MachinePage, DecodeError> {
    let raw: RawMachinePage = serde_json::from_slice(body)?;
    Ok(MachinePage {
        machines: raw
            .bollards
            .into_iter()
            .map(decode_listed_machine)
            .collect(),
        has_next: raw.has_next,
    })
}

fn decode_listed_machine(raw: RawMachine) -> ListedMachine {
    ListedMachine {
        failed: raw.status == FAILED_STATUS,
        name: raw.name,
        addr: raw.endpoint.unwrap_or_default(),
        type_name: raw.hull_type,
        zone: raw.basin,
        spot: raw.lay_by,
        age: raw.age_s.and_then(to_duration).unwrap_or_default(),
    }
}

/// Encodes an order for new machines.
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

/// Encodes the request to return machines.
pub fn encode_scale_in(names: &[Arc<str>]) -> Vec<u8> {
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    serde_json::json!({ "bollards": names })
        .to_string()
        .into_bytes()
}

#[cfg(test)]
mod tests;
