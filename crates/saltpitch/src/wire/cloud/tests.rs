//! The encoding of requests to the cloud, byte for byte, and the decoding of its answers.

use super::*;

#[test]
fn requests_for_machines_are_encoded_byte_for_byte() {
    let request = ScaleOutRequest {
        id: "n1-7-3",
        type_name: "g8",
        zone: "east",
        spot: true,
        count: 4,
    };
    let expected =
        r#"{"basin":"east","charter":"n1-7-3","count":4,"hull_type":"g8","lay_by":true}"#;
    let body = encode_scale_out(&request);
    assert_eq!(String::from_utf8_lossy(&body), expected);
    let names: Vec<Arc<str>> = vec!["vm-1".into(), "vm-2".into()];
    let body = encode_scale_in(&names);
    assert_eq!(
        String::from_utf8_lossy(&body),
        r#"{"bollards":["vm-1","vm-2"]}"#
    );
}

#[test]
fn a_machine_type_has_defaults_and_one_with_a_negative_number_is_left_out() {
    let catalog = decode_catalog(
        br#"{"hulls_list":[
            {"sku":"plain","cpus":8,"mem_gb":32,"rate":0.4,"basins":["east"]},
            {"sku":"broken","cpus":-8,"mem_gb":32,"rate":0.4,"basins":["east"]}]}"#,
    )
    .expect("well formed");
    assert_eq!(catalog.types.len(), 1);
    let plain = &catalog.types[0];
    assert_eq!(
        (plain.size.cpu, plain.size.gpu, plain.size.mem),
        (8_000, 0, 32_000)
    );
    assert_eq!((plain.price, plain.spot_price), (400, 400));
    assert_eq!((plain.cache_mb, plain.fetch_mb_per_s), (0, 100));
    assert_eq!(plain.boot, saltpitch_core::Micros::from_secs(60));
}

#[test]
fn a_page_of_machines_says_whether_more_follow() {
    let page = decode_machine_page(
        br#"{"bollards":[{"ref":"vm-1","hull_type":"g8","basin":"east","status":"failed"}],"has_next":true}"#,
    )
    .expect("well formed");
    assert!(page.has_next);
    assert!(page.machines[0].failed && page.machines[0].addr.is_empty());
    let last = decode_machine_page(br#"{"bollards":[]}"#).expect("well formed");
    assert!(!last.has_next && last.machines.is_empty());
    assert_eq!(
        decode_scale_out_reply(br#"{"bollards":["vm-9"]}"#),
        Ok(vec!["vm-9".to_owned()])
    );
}
