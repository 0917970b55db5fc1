//! What a peer says of how long it keeps its connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use driftspring_gateway::protocol::Call;
use driftspring_gateway::upstream::{Pool, call};
use http::{HeaderMap, Method, StatusCode};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Values of the header, of which the gateway must survive all.
const VALUES: [&str; 6] = [
    "timeout=18446744073709551615",
    "timeout=18446744073709551616",
    "timeout=9223372036854775807, max=1",
    "timeout=0",
    "timeout=-1",
    "timeout=",
];

/// A peer that answers every request with this `Keep-Alive` header, and counts its connections.
fn peer(keep_alive: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            count.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(1..) = connection.read(&mut buffer) {
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: {keep_alive}\r\n\r\n"
                    );
                    if connection.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

fn order() -> Call {
    Call {
        method: Method::GET,
        path: "/".to_owned(),
        body: Bytes::new(),
        content_type: None,
        headers: HeaderMap::new(),
    }
}

/// Guards against answers that end the task which reads them.
#[ntex::test]
async fn an_answer_with_any_keep_alive_time_is_taken() {
    for value in VALUES {
        let (address, _) = peer(value);
        let pool = Pool::new(address);
        for _ in 0..2 {
            let (status, _) = call(&pool, &order(), TIMEOUT).await.expect(value);
            assert_eq!(status, StatusCode::OK, "{value}");
        }
    }
}

#[ntex::test]
async fn a_connection_that_its_peer_keeps_for_ever_is_used_again() {
    let (address, connections) = peer(VALUES[0]);
    let pool = Pool::new(address);
    for _ in 0..3 {
        call(&pool, &order(), TIMEOUT).await.expect("an answer");
    }
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}
