//! Machine types and amounts of resources.

use serde::{Deserialize, Serialize};

use crate::time::Micros;

/// The boot time that is assumed of a type that the catalogue does not list.
const UNKNOWN_BOOT_TIME: Micros = Micros::from_secs(60);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Amounts in thousandths: of a processor, of an accelerator, of a gigabyte.
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
    /// Whether this much fits into `capacity`.
    pub fn fits(&self, capacity: &Resources) -> bool {
        self.cpu <= capacity.cpu && self.gpu <= capacity.gpu && self.mem <= capacity.mem
    }

    /// The sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            gpu: self.gpu.saturating_add(other.gpu),
            mem: self.mem.saturating_add(other.mem),
        }
    }

    /// The difference, or zero where `other` is more.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            mem: self.mem.saturating_sub(other.mem),
        }
    }

    /// This much for each of `count` tasks.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
            mem: self.mem.saturating_mul(count),
        }
    }

    /// How many tasks that need this much fit into `capacity`.
    pub fn count_in(&self, capacity: &Resources) -> u64 {
        let tasks = |need: u64, available: u64| available.checked_div(need).unwrap_or(u64::MAX);
        tasks(self.cpu, capacity.cpu)
            .min(tasks(self.gpu, capacity.gpu))
            .min(tasks(self.mem, capacity.mem))
    }

    /// Whether this is nothing.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }
}

/// One type of machine, as the cloud offers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The name.
    pub name: String,
    /// What a machine has for tasks.
    pub size: Resources,
    /// The size of a machine's image cache, in thousandths of a gigabyte.
    pub cache_mb: u64,
    /// How fast a machine fetches images, in thousandths of a gigabyte a second.
    pub fetch_mb_per_s: u64,
    /// The price of an ordinary machine, in thousandths of a unit of money an hour.
    pub price: u64,
    /// The price of a spot machine, in the same unit.
    pub spot_price: u64,
    /// How long a machine takes from the request until it is up.
    pub boot: Micros,
    /// The zones in which the type is offered.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Stands for a type that the catalogue does not list: nothing fits on it.
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

    /// The price of a spot or an ordinary machine.
    pub fn price_of(&self, spot: bool) -> u64 {
        if spot {
            self.spot_price
        } else {
            self.price
        }
    }

    /// About how long a machine takes to fetch an image of this size.
    pub fn fetch_time(&self, image_mb: u64) -> Micros {
        let rate = self.fetch_mb_per_s.max(1);
        Micros(image_mb.saturating_mul(MICROS_PER_SECOND) / rate)
    }
}

/// The machine types that the cloud offers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The types.
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// The type with this name.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|kind| kind.name == name)
    }
}
