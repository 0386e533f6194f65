//! Tests of what the index keeps.

use super::*;

/// Guards against the kin of review/3 that an index of images grows with every image that any job ever used.
#[test]
fn an_image_that_no_machine_has_is_not_kept() {
    let mut index = MachineIndex::default();
    let zones: [Arc<str>; 2] = ["east".into(), "west".into()];
    let change = |added: &[String], removed: &[String]| ImageChanges {
        added: added.to_vec(),
        removed: removed.to_vec(),
    };
    for release in 0..1_000 {
        let image = [format!("img-{release}")];
        for zone in &zones {
            index.images_changed(zone, &change(&image, &[]));
        }
        assert_eq!(index.max_image_holders_per_zone(&image[0]), 1);
        index.images_changed(&zones[0], &change(&[], &image));
        assert_eq!(
            index.max_image_holders_per_zone(&image[0]),
            1,
            "west has it"
        );
        index.images_changed(&zones[1], &change(&[], &image));
        assert_eq!(index.max_image_holders_per_zone(&image[0]), 0);
    }
    assert_eq!(index.image_holders.len(), 0);
}
