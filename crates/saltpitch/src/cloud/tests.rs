//! Tests of reading the list of machines.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{endpoint::make_sync, Request, Response, Server};

/// The number of machines on the list: seven pages.
const MACHINE_COUNT: usize = 3_100;

/// A cloud that lists [`MACHINE_COUNT`] machines.
struct Cloud {
    addr: SocketAddr,
    calls: Arc<AtomicUsize>,
}

/// Returns the page that a request asks for.
fn page(request: &Request) -> String {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let field = |name: &str| {
        let mut fields = query.split('&').filter_map(|f| f.split_once('='));
        fields.find(|f| f.0 == name).map(|f| f.1.to_owned())
    };
    let from = field("from").map_or(0, |f| f[3..].parse::<usize>().unwrap_or(0));
    let page = field("page")
        .map_or(500, |f| f.parse().unwrap_or(500))
        .min(500);
    let rows: Vec<_> = (from + 1..=(from + page).min(MACHINE_COUNT))
        .map(|n| {
            serde_json::json!({"ref": format!("vm-{n:06}"), "endpoint": "10.0.0.1:9000",
                "hull_type": "plain", "basin": "east", "lay_by": false,
                "status": "running", "age_s": 1.0})
        })
        .collect();
    serde_json::json!({"bollards": rows, "has_next": from + page < MACHINE_COUNT}).to_string()
}

impl Cloud {
    /// Starts a cloud that refuses the call with the number `refused_call`, counted from zero, with 429.
    async fn start(refused_call: Option<usize>) -> Cloud {
        let calls = Arc::new(AtomicUsize::new(0));
        let call_counter = calls.clone();
        let endpoint = make_sync(move |request: Request| {
            let call = call_counter.fetch_add(1, Ordering::Relaxed);
            if Some(call) == refused_call {
                return StatusCode::TOO_MANY_REQUESTS.into();
            }
            Response::from(page(&request))
        });
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await;
        let acceptor = acceptor.expect("a free port");
        let addr = *acceptor.local_addr()[0].as_socket_addr().expect("TCP");
        tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));
        Cloud { addr, calls }
    }

    fn client(&self) -> CloudClient {
        CloudClient::new(Arc::new(Client::new(8)), self.addr, Clock::start(), 200.0)
    }

    fn call_count(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

/// A list with more pages than the maximum burst of calls is read completely, in full pages, and takes
/// nothing from the budget of scaling requests, which is zero here.
#[tokio::test]
async fn a_long_list_is_read_to_its_end() {
    let cloud = Cloud::start(None).await;
    let client = cloud.client();
    *client.call_budget.lock().expect("not poisoned") = TokenBucket::per_second(0.0);
    let mut listed = 0;
    let mut position = ListPosition::default();
    client
        .list_machines(&mut position, |page| listed += page.len())
        .await;
    assert_eq!((listed, cloud.call_count()), (MACHINE_COUNT, 7));
}

/// Guards against a list whose later pages are never read, because each refusal by the cloud makes the reading begin
/// again at the first page.
#[tokio::test]
async fn a_list_continues_at_the_page_that_was_refused() {
    let cloud = Cloud::start(Some(4)).await;
    let client = cloud.client();
    let mut position = ListPosition::default();
    let mut names = Vec::new();
    for listed in [4 * 500, MACHINE_COUNT] {
        let note = |page: &[ListedMachine]| names.extend(page.iter().map(|m| m.name.clone()));
        client.list_machines(&mut position, note).await;
        assert_eq!(names.len(), listed);
    }
    names.dedup();
    assert_eq!(names.len(), MACHINE_COUNT, "no machine is read twice");
    assert_eq!(cloud.call_count(), 8);
    assert_eq!(position, ListPosition::default(), "the next list is whole");
}

/// Guards against a page that can never be read and keeps the list from being read from its start.
#[test]
fn a_page_that_fails_repeatedly_makes_the_list_begin_anew() {
    let mut position = ListPosition::default();
    position.move_to(Some("vm-000500".to_owned()));
    for _ in 1..MAX_PAGE_ATTEMPTS {
        position.page_failed();
        assert_eq!(position.path(), "/machines?from=vm-000500&page=500");
    }
    position.page_failed();
    assert_eq!(position, ListPosition::default());
}

/// Guards against controllers that start together without a catalogue and ask for it faster, all of them together,
/// than the cloud answers.
#[test]
fn reads_of_a_missing_catalogue_stay_within_their_share_of_the_rate() {
    const RPS: f64 = 5.0;
    for controller_count in 1..=7 {
        let mut backoff = missing_catalog_backoff(RPS, controller_count);
        let mean_pause = |backoff: &mut Backoff| backoff.next_pause(u64::MAX / 2).as_secs_f64();
        let longest_pause = (0..20)
            .map(|_| mean_pause(&mut backoff))
            .fold(0.0, f64::max);
        let reads_per_second = controller_count as f64 / longest_pause;
        let share = RPS * MISSING_CATALOG_SHARE * 1.001;
        assert!(
            reads_per_second <= share,
            "{controller_count}: {reads_per_second}"
        );
    }
}
