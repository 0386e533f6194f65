//! Which machines hold which images, as far as the records prove it.
//!
//! The records don't list the images on machines, but they show where each task was placed and that it
//! completed, and for that the machine must have had the task's image. Every controller follows the
//! records, so the next leader knows the caches of machines from which it has received nothing yet.

use std::collections::HashMap;
use std::sync::Arc;

/// The most images remembered for one machine; the least recently used one is dropped first.
const MAX_IMAGES_PER_MACHINE: usize = 16;

/// One image in a machine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedImage {
    /// Its name.
    pub name: Arc<str>,
    /// Its size in thousandths of a gigabyte.
    pub size_mb: u64,
}

/// The cache of one machine in one of its epochs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ImageCache {
    /// The agent's epoch in which the images were used. Which of them it still has in a later epoch is
    /// unknown.
    pub agent_epoch: u64,
    /// The images, with the most recently used one last.
    pub images: Vec<CachedImage>,
}

/// The images that machines are known to have used, by machine name.
#[derive(Clone, Debug, Default)]
pub struct ImageLocations {
    machines: HashMap<String, ImageCache>,
}

impl ImageLocations {
    /// Records that a task with this image ran on the machine.
    pub fn record_use(&mut self, machine: &str, agent_epoch: u64, image: &str, size_mb: u64) {
        let cache = match self.machines.get_mut(machine) {
            Some(cache) => cache,
            None => self.machines.entry(machine.to_owned()).or_default(),
        };
        if agent_epoch < cache.agent_epoch {
            return;
        }
        if agent_epoch > cache.agent_epoch {
            cache.agent_epoch = agent_epoch;
            cache.images.clear();
        }
        let images = &mut cache.images;
        let entry = match images.iter().position(|cached| &*cached.name == image) {
            Some(index) => images.remove(index),
            None => CachedImage {
                name: image.into(),
                size_mb,
            },
        };
        images.push(entry);
        if images.len() > MAX_IMAGES_PER_MACHINE {
            images.remove(0);
        }
    }

    /// Keeps only the machines for which `is_kept` returns true.
    pub fn retain_machines(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.machines.retain(|machine, _| is_kept(machine));
    }

    /// Returns the number of machines whose images are known.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Removes a machine that was returned.
    pub fn remove_machine(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    /// Returns what is known of a machine's cache.
    pub fn cache_of(&self, machine: &str) -> Option<&ImageCache> {
        self.machines.get(machine)
    }
}
