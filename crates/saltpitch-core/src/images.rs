//! Which machines hold which images, as far as the records prove it.
//!
//! The records name no images, yet they say where each task was placed and that it completed, and a
//! machine must have had a task's image for that. Every controller follows the records, so whichever of
//! them leads next knows the caches of machines that it has never heard of before.

use std::collections::HashMap;
use std::sync::Arc;

/// The most images remembered for one machine; the least recently used are forgotten first.
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
    /// The epoch in which the images were used. What a later epoch still has is not known.
    pub agent_epoch: u64,
    /// The images, the most recently used last.
    pub images: Vec<CachedImage>,
}

/// The images that machines are known to have used, by the machine's name.
#[derive(Clone, Debug, Default)]
pub struct ImageLocations {
    machines: HashMap<String, ImageCache>,
}

impl ImageLocations {
    /// A task with this image ran on the machine.
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
        let entry = match images.iter().position(|i| &*i.name == image) {
            Some(at) => images.remove(at),
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

    /// The machine was returned.
    pub fn remove_machine(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    /// What is known of a machine's cache.
    pub fn cache_of(&self, machine: &str) -> Option<&ImageCache> {
        self.machines.get(machine)
    }
}
