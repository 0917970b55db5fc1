//! How many connections linger at once.

use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use driftspring_gateway::callers::Lingering;
use driftspring_gateway::callers::linger::linger;
use driftspring_gateway::callers::metrics::{LingerEnd, LingerLabels};
use driftspring_telemetry::metrics::LingerMetrics;

const MAX_OPEN: usize = 4;

/// How long tasks get to run.
const TURNS: Duration = Duration::from_millis(100);

/// A caller and the accepted side of its connection.
fn connect(listener: &TcpListener) -> (TcpStream, tokio::net::TcpStream) {
    let caller = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (accepted, _) = listener.accept().expect("accepted");
    accepted.set_nonblocking(true).expect("a socket");
    caller.set_nonblocking(true).expect("a socket");
    let accepted = tokio::net::TcpStream::from_std(accepted).expect("a socket");
    (caller, accepted)
}

/// Whether the other side still reads: a reset tells the caller otherwise once it has sent something.
fn is_read(caller: &mut TcpStream) -> bool {
    use std::io::Write;
    for _ in 0..2 {
        if caller.write(b"b").is_err() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut buffer = [0; 16];
    match caller.read(&mut buffer) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

/// Guards against refused callers that stay and take all descriptors from others.
#[ntex::test]
async fn the_oldest_of_too_many_lingering_connections_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let metrics = LingerMetrics::default();
    let lingering = Lingering::with_max_open(metrics.clone(), MAX_OPEN);
    let mut callers = Vec::new();
    for _ in 0..MAX_OPEN + 3 {
        let (caller, accepted) = connect(&listener);
        let lingering = Rc::clone(&lingering);
        ntex::rt::spawn(async move { linger(&accepted, &lingering).await });
        callers.push(caller);
        tokio::time::sleep(TURNS).await;
    }
    assert_eq!(lingering.open() as usize, MAX_OPEN);
    let are_read: Vec<bool> = callers.iter_mut().map(is_read).collect();
    assert_eq!(are_read, [false, false, false, true, true, true, true]);
    let labels = LingerLabels {
        end: LingerEnd::CountLimit.name(),
    };
    assert_eq!(metrics.ended.get_or_create(&labels).get(), 3);
}
