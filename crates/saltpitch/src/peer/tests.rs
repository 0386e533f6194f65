//! Frames between versions: samples written by the version that deploy/service.toml names as in
//! production, and samples of this version's that the former's own reader took without an error when
//! they were made. Both must stay readable, and this version must go on writing the latter.

use super::*;

/// What production writes: fields by position.
const OLD_HELLO: &str = "81a548656c6c6f97a26e3107a26e30cf00060a24181e4000c3c203";
const OLD_SUBMIT: &str = "81a45573657281a65375626d6974927b7d";
const OLD_QUERY: &str = "81a45573657281a55175657279aa6a6f622d303030303031";
const OLD_CANCEL: &str = "81a45573657281a643616e63656caa6a6f622d303030303031";
const OLD_ANSWER: &str = "81a45573657292ccc8a27b7d";
const OLD_UNABLE: &str = "a6556e61626c65";
/// What this version writes and production reads.
const NEW_HELLO: &str = "81a548656c6c6f8aa46e6f6465a26e31a47465726d07a56f776e6572a26e30a46c696665cf00060a24181e4000a56c65\
616473c3a873746f72655f7570c2a66b6e6f636b7303a776657273696f6e01a461736b73920982a770726f6365737305\
a7656e747269657302a4776f726483a47570746f82a770726f6365737306a7656e747269657301a46d6f7265c2a96361\
6e63656c6c656491aa6a6f622d303030303032";
const NEW_ANSWER: &str = "81a45573657282a6737461747573ccc8a4626f6479a27b7d";

fn hex(b: &[u8]) -> String {
    b.iter().map(|x| format!("{x:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digit = |c: u8| (c as char).to_digit(16).expect("a digit") as u8;
    hex.as_bytes()
        .chunks(2)
        .map(|c| digit(c[0]) * 16 + digit(c[1]))
        .collect()
}

fn hello() -> Hello {
    Hello {
        node: "n1".to_owned(),
        term: 7,
        owner: "n0".to_owned(),
        life: 1_700_000_000_000_000,
        leads: true,
        store_up: false,
        knocks: 3,
        version: 1,
        asks: Some((
            9,
            Cursor {
                process: 5,
                entries: 2,
            },
        )),
        word: Some(Word {
            upto: Cursor {
                process: 6,
                entries: 1,
            },
            more: false,
            cancelled: vec!["job-000002".to_owned()],
        }),
    }
}

fn ask(hex: &str) -> Ask {
    rmp_serde::from_slice(&bytes(hex)).expect("readable")
}

#[test]
fn frames_of_the_version_in_production_are_read() {
    let Ask::Hello(h) = ask(OLD_HELLO) else {
        panic!("not a greeting");
    };
    assert_eq!((&*h.node, h.term, h.leads, h.knocks), ("n1", 7, true, 3));
    // An old peer gives no word, and asks for none.
    assert_eq!((h.asks, h.word), (None, None));
    assert!(matches!(ask(OLD_SUBMIT), Ask::User(UserOp::Submit(b)) if b == b"{}"));
    assert!(matches!(ask(OLD_QUERY), Ask::User(UserOp::Query(id)) if id == "job-000001"));
    assert!(matches!(ask(OLD_CANCEL), Ask::User(UserOp::Cancel(id)) if id == "job-000001"));
    let say = |hex: &str| rmp_serde::from_slice::<Say>(&bytes(hex)).expect("readable");
    assert!(matches!(say(OLD_ANSWER), Say::User { status: 200, body } if body == "{}"));
    assert!(matches!(say(OLD_UNABLE), Say::Unable));
}

/// Frames change only by fields that may be left out, behind those that are there.
#[test]
fn frames_stay_as_production_read_them() {
    let written = |m: Ask| hex(&encode(&m).expect("written"));
    let id = "job-000001".to_owned();
    assert_eq!(written(Ask::Hello(hello())), NEW_HELLO);
    assert_eq!(
        written(Ask::User(UserOp::Submit(b"{}".to_vec()))),
        OLD_SUBMIT
    );
    assert_eq!(written(Ask::User(UserOp::Query(id.clone()))), OLD_QUERY);
    assert_eq!(written(Ask::User(UserOp::Cancel(id))), OLD_CANCEL);
    let answer = Say::User {
        status: 200,
        body: "{}".to_owned(),
    };
    assert_eq!(hex(&encode(&answer).expect("written")), NEW_ANSWER);
    assert_eq!(hex(&encode(&Say::Unable).expect("written")), OLD_UNABLE);
    let Ask::Hello(back) = ask(NEW_HELLO) else {
        panic!("not a greeting");
    };
    assert_eq!(back.word, hello().word);
    assert_eq!(back.asks, hello().asks);
}
