//! A call must not be sent if it is no longer allowed once its connection is established.
//!
//! Found by reading: the token of an order was checked before its connection was established, which may take
//! 0.35 s. Timers stop while a machine is suspended, so the order was sent after the suspension although
//! another gateway held the lease by then.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use bytes::Bytes;
use driftspring_gateway::protocol::Call;
use driftspring_gateway::upstream::{CallError, Pool, call_if};
use http::{HeaderMap, Method, StatusCode};

const TIMEOUT: Duration = Duration::from_secs(5);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A peer that answers one request on each connection. The requests that it reads are sent to the channel.
fn peer() -> (SocketAddr, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, received) = channel();
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            let mut buffer = [0; 4096];
            let length = connection.read(&mut buffer).unwrap_or(0);
            if length == 0 || sender.send(buffer[..length].to_vec()).is_err() {
                continue;
            }
            let _ = connection.write_all(ANSWER);
        }
    });
    (address, received)
}

fn order() -> Call {
    Call {
        method: Method::POST,
        path: "/order".to_owned(),
        body: Bytes::new(),
        content_type: None,
        headers: HeaderMap::new(),
    }
}

#[ntex::test]
async fn a_call_that_is_no_longer_allowed_is_not_sent() {
    let (address, received) = peer();
    let pool = Pool::new(address);
    let checks = Cell::new(0);
    let deny = || {
        checks.set(checks.get() + 1);
        false
    };
    let answer = call_if(&pool, &order(), TIMEOUT, deny).await;
    assert!(matches!(answer, Err(CallError::NotSent(_))), "{answer:?}");
    assert_eq!(checks.get(), 1);
    let answer = call_if(&pool, &order(), TIMEOUT, || true).await;
    let (status, _) = answer.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(received.try_iter().count(), 1, "only the second was sent");
}
