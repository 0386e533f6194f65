//! The images on a machine, as inferred from the tasks that ran there.

use std::collections::BTreeMap;

use crate::time::Micros;

/// One image on a machine.
#[derive(Clone, Copy, Debug)]
struct LocalImage {
    size_mb: u64,
    used_at: Micros,
}

/// The images that were added to a machine's cache or evicted from it.
#[derive(Debug, Default)]
pub struct ImageChanges {
    /// The images that were added.
    pub added: Vec<String>,
    /// The images that were evicted.
    pub removed: Vec<String>,
}

/// A machine's images, with eviction of the least recently used ones.
#[derive(Debug, Default)]
pub struct LocalImages {
    images: BTreeMap<String, LocalImage>,
    /// The epoch for which the images were restored from the records; `None` once the agent is heard.
    restored_epoch: Option<u64>,
}

impl LocalImages {
    /// Returns whether the machine has the image.
    pub fn contains(&self, image: &str) -> bool {
        self.images.contains_key(image)
    }

    /// Returns the size of the largest image in megabytes, or zero if there is none.
    pub fn largest_mb(&self) -> u64 {
        let sizes = self.images.values().map(|image| image.size_mb);
        sizes.max().unwrap_or(0)
    }

    /// Records that a task used this image. Evicts the least recently used images while their total size
    /// exceeds `capacity_mb`.
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

    /// Evicts the least recently used images until the total size is at most `capacity_mb`. Returns them.
    fn shrink_to(&mut self, capacity_mb: u64) -> Vec<String> {
        let mut removed = Vec::new();
        while self.total_mb() > capacity_mb {
            let Some(evicted) = self.least_recently_used() else {
                break;
            };
            self.images.remove(&evicted);
            removed.push(evicted);
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

    /// Records that the images were restored from the records, which are valid for this epoch of the agent.
    pub fn mark_restored(&mut self, agent_epoch: u64) {
        self.restored_epoch = Some(agent_epoch);
    }

    /// Records that a status of this epoch arrived. If it is the first since the images were restored, drops
    /// and returns those of an earlier epoch.
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
