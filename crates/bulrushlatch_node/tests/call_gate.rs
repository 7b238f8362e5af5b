//! Tests of the limit on calls to a server that leaves calls unanswered.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bulrushlatch_node::{
    call_gate::CallGate,
    http_client::{CallError, HttpClient},
};
use http_body_util::Full;
use hyper::{Request, body::Bytes};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    task::LocalSet,
    time::{self, Instant},
};

const CALL_TIMEOUT: Duration = Duration::from_millis(30);

/// Starts a server that answers no call; returns its address and the number of its connections.
async fn start_silent_server() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let connections = Rc::new(Cell::new(0));
    let count = Rc::clone(&connections);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            tokio::task::spawn_local(async move {
                let mut request = [0; 1024];
                while let Ok(1..) = stream.read(&mut request).await {}
            });
        }
    });
    (address, connections)
}

async fn call(client: &HttpClient) -> Result<u16, CallError> {
    let request = Request::get("/").body(Full::new(Bytes::new())).expect("a valid request");
    client.call(request, CALL_TIMEOUT).await.map(|reply| reply.status)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Guards against a new connection for each of many calls, which exhausts sockets.
#[test]
fn few_connections_are_opened_to_a_server_that_leaves_calls_unanswered() {
    run(async {
        let (address, connections) = start_silent_server().await;
        let client = HttpClient::with_gate(address);
        for _ in 0..10 {
            let calls = (0..20).map(|_| {
                let client = client.clone();
                tokio::task::spawn_local(async move { call(&client).await })
            });
            for call in calls.collect::<Vec<_>>() {
                assert!(call.await.expect("the call ends").is_err());
            }
        }
        // Those of the first calls, and one at a time after that.
        let connections = connections.get();
        assert!(connections <= 40, "{connections} connections for 200 calls");
    });
}

fn run_on_virtual_clock(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn calls_are_not_held_back_while_they_are_answered() {
    run_on_virtual_clock(async {
        let gate = CallGate::default();
        let started_at = Instant::now();
        let _first = gate.wait().await;
        let _second = gate.wait().await;
        assert_eq!(started_at.elapsed(), Duration::ZERO);
    });
}

#[test]
fn one_call_at_a_time_is_sent_after_an_unanswered_one() {
    run_on_virtual_clock(async {
        let gate = CallGate::default();
        gate.record_no_answer();
        let first = gate.wait().await;
        assert!(time::timeout(CALL_TIMEOUT, gate.wait()).await.is_err());
        gate.record_answer();
        drop(first);
        let _second = gate.wait().await;
        let _third = gate.wait().await;
    });
}

#[test]
fn pauses_grow_while_calls_go_unanswered() {
    run_on_virtual_clock(async {
        let gate = CallGate::default();
        let mut pauses = Vec::new();
        for _ in 0..8 {
            gate.record_no_answer();
            let started_at = Instant::now();
            gate.wait().await;
            pauses.push(started_at.elapsed());
        }
        assert!(pauses.is_sorted(), "{pauses:?}");
        assert_eq!(pauses[0], Duration::ZERO, "single answers get lost");
        assert!(pauses[7] <= Duration::from_millis(100), "{pauses:?}");
    });
}
