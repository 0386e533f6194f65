//! The images on a machine, as far as the tasks that ran there prove it.

use std::collections::BTreeMap;

use crate::time::Micros;

/// One image on a machine.
#[derive(Clone, Copy, Debug)]
struct LocalImage {
    size_mb: u64,
    used_at: Micros,
}

/// Images that came to a machine or fell out of its cache.
#[derive(Debug, Default)]
pub struct ImageChanges {
    /// Those that came.
    pub added: Vec<String>,
    /// Those that are gone.
    pub removed: Vec<String>,
}

/// A machine's images, the least recently used of which are evicted.
#[derive(Debug, Default)]
pub struct LocalImages {
    images: BTreeMap<String, LocalImage>,
    /// The epoch for which the images were restored from the records, until the agent is heard.
    restored_epoch: Option<u64>,
}

impl LocalImages {
    /// Whether the image is here.
    pub fn contains(&self, image: &str) -> bool {
        self.images.contains_key(image)
    }

    /// The size of the largest image.
    pub fn largest_mb(&self) -> u64 {
        let sizes = self.images.values().map(|image| image.size_mb);
        sizes.max().unwrap_or(0)
    }

    /// A task with this image ran. The least recently used ones make way in a cache of `capacity_mb`.
    pub fn use_image(
        &mut self,
        name: &str,
        size_mb: u64,
        capacity_mb: u64,
        now: Micros,
    ) -> ImageChanges {
        if let Some(image) = self.images.get_mut(name) {
            image.used_at = now;
            return ImageChanges::default();
        }
        let image = LocalImage {
            size_mb,
            used_at: now,
        };
        self.images.insert(name.to_owned(), image);
        ImageChanges {
            added: vec![name.to_owned()],
            removed: self.shrink_to(capacity_mb),
        }
    }

    fn shrink_to(&mut self, capacity_mb: u64) -> Vec<String> {
        let mut removed = Vec::new();
        while self.total_mb() > capacity_mb {
            let Some(oldest) = self.least_recently_used() else {
                break;
            };
            self.images.remove(&oldest);
            removed.push(oldest);
        }
        removed
    }

    fn total_mb(&self) -> u64 {
        self.images.values().map(|image| image.size_mb).sum()
    }

    fn least_recently_used(&self) -> Option<String> {
        let images = self.images.iter();
        let oldest = images.min_by_key(|(_, image)| image.used_at);
        oldest.map(|(name, _)| name.clone())
    }

    /// The images were restored from the records, which prove them for this epoch of the agent.
    pub fn mark_restored(&mut self, agent_epoch: u64) {
        self.restored_epoch = Some(agent_epoch);
    }

    /// The agent is heard in this epoch. Restored images of an earlier one are dropped and returned.
    pub fn epoch_observed(&mut self, agent_epoch: u64) -> Vec<String> {
        match self.restored_epoch.take() {
            Some(restored) if agent_epoch > restored => self.clear(),
            _ => Vec::new(),
        }
    }

    /// Drops all images and returns them.
    pub fn clear(&mut self) -> Vec<String> {
        std::mem::take(&mut self.images).into_keys().collect()
    }
}
