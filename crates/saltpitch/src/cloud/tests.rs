//! Tests of reading the list of machines.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};

use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{endpoint::make_sync, Request, Server};

/// A list with more pages than the maximum burst of calls is read completely, in full pages, and takes
/// nothing from the budget of scaling requests, which is zero here.
#[tokio::test]
async fn a_long_list_is_read_to_its_end() {
    let calls = Arc::new(AtomicUsize::new(0));
    let call_counter = calls.clone();
    let cloud = make_sync(move |req: Request| {
        call_counter.fetch_add(1, Ordering::Relaxed);
        let query = req.uri().query().unwrap_or_default().to_owned();
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|f| f.split_once('='));
            fields.find(|f| f.0 == name).map(|f| f.1.to_owned())
        };
        let from = field("from").map_or(0, |f| f[3..].parse::<usize>().unwrap_or(0));
        let page = field("page")
            .map_or(500, |f| f.parse().unwrap_or(500))
            .min(500);
        let rows: Vec<_> = (from + 1..=(from + page).min(3_100))
            .map(|n| {
                serde_json::json!({"ref": format!("vm-{n:06}"), "endpoint": "10.0.0.1:9000",
                    "hull_type": "plain", "basin": "east", "lay_by": false,
                    "status": "running", "age_s": 1.0})
            })
            .collect();
        serde_json::json!({"bollards": rows, "has_next": from + page < 3_100}).to_string()
    });
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await;
    let acceptor = acceptor.expect("a free port");
    let addr = *acceptor.local_addr()[0].as_socket_addr().expect("TCP");
    tokio::spawn(Server::new_with_acceptor(acceptor).run(cloud));
    let cloud = CloudClient::new(Arc::new(Client::new(8)), addr, Clock::start(), 200.0);
    *cloud.call_budget.lock().expect("not poisoned") = TokenBucket::per_second(0.0);
    let mut listed = 0;
    cloud.list_machines(|page| listed += page.len()).await;
    assert_eq!((listed, calls.load(Ordering::Relaxed)), (3_100, 7));
}
