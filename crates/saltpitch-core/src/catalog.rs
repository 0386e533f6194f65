//! The catalogue of machine types, and resource amounts.

use serde::{Deserialize, Serialize};

use crate::time::Micros;

/// The boot time assumed for a machine type that the catalogue does not list.
const UNKNOWN_BOOT_TIME: Micros = Micros::from_secs(60);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Resource amounts, in thousandths of a processor, an accelerator and a gigabyte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processors.
    #[serde(rename = "c")]
    pub cpu: u64,
    /// Accelerators.
    #[serde(rename = "g", default)]
    pub gpu: u64,
    /// Memory.
    #[serde(rename = "m")]
    pub mem: u64,
}

impl Resources {
    /// Returns whether this amount fits into `capacity`.
    pub fn fits(&self, capacity: &Resources) -> bool {
        self.cpu <= capacity.cpu && self.gpu <= capacity.gpu && self.mem <= capacity.mem
    }

    /// Returns the sum of both amounts.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            gpu: self.gpu.saturating_add(other.gpu),
            mem: self.mem.saturating_add(other.mem),
        }
    }

    /// Returns the smaller of both amounts of each resource.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(other.cpu),
            gpu: self.gpu.min(other.gpu),
            mem: self.mem.min(other.mem),
        }
    }

    /// Returns the difference, with zero for each resource of which `other` has more.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            mem: self.mem.saturating_sub(other.mem),
        }
    }

    /// Returns the amount that `count` tasks of this need take together.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
            mem: self.mem.saturating_mul(count),
        }
    }

    /// Returns how many tasks of this need fit into `capacity`.
    pub fn count_in(&self, capacity: &Resources) -> u64 {
        let tasks = |need: u64, available: u64| available.checked_div(need).unwrap_or(u64::MAX);
        tasks(self.cpu, capacity.cpu)
            .min(tasks(self.gpu, capacity.gpu))
            .min(tasks(self.mem, capacity.mem))
    }

    /// Returns whether every amount is zero.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }
}

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name.
    pub name: String,
    /// The resources that a machine has for tasks.
    pub size: Resources,
    /// The size of a machine's image cache, in thousandths of a gigabyte.
    pub cache_mb: u64,
    /// The rate at which a machine fetches images, in thousandths of a gigabyte per second.
    pub fetch_mb_per_s: u64,
    /// The price of an ordinary machine, in thousandths of a currency unit per hour.
    pub price: u64,
    /// The price of a spot machine, in the same unit.
    pub spot_price: u64,
    /// The time from the request for a machine until it is up.
    pub boot: Micros,
    /// The zones in which the type is offered.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Creates a placeholder for a type that the catalogue does not list. No task fits on its machines.
    pub fn unknown(name: &str) -> MachineType {
        MachineType {
            name: name.to_owned(),
            size: Resources::default(),
            cache_mb: 0,
            fetch_mb_per_s: 1,
            price: 0,
            spot_price: 0,
            boot: UNKNOWN_BOOT_TIME,
            zones: Vec::new(),
        }
    }

    /// Returns the price of a spot machine or of an ordinary one.
    pub fn price_of(&self, spot: bool) -> u64 {
        if spot {
            self.spot_price
        } else {
            self.price
        }
    }

    /// Returns the approximate time that a machine takes to fetch an image of this size.
    pub fn fetch_time(&self, image_mb: u64) -> Micros {
        let rate = self.fetch_mb_per_s.max(1);
        Micros(image_mb.saturating_mul(MICROS_PER_SECOND) / rate)
    }
}

/// The machine types that the cloud offers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types.
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// Returns the type with this name.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}
