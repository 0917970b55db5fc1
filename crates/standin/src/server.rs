//! Runs a stand-in's HTTP server on separate threads.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use anyhow::Context;
use ntex::http::HttpServiceConfig;
use ntex::server::create_tcp_listener;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer, ServiceConfig, types::PayloadConfig};
use tokio::sync::mpsc;

use crate::faults::{FaultSwitches, FaultUpdate};
use crate::gate::{Connections, Gate, configure_switches, drop_on_command};

const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Connections that may wait to be accepted; a whole daemon's may come at once.
const BACKLOG: i32 = 4_096;

const KEEP_ALIVE: Seconds = Seconds(75);

/// How a stand-in is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Open requests are finished.
    Planned,
    /// Connections drop at once.
    Abrupt,
}

/// Ends a stand-in from any thread, its own included.
#[derive(Debug, Clone)]
pub(crate) struct EndHandle(mpsc::UnboundedSender<End>);

impl EndHandle {
    /// Begins a planned stop.
    pub(crate) fn stop(&self) {
        self.send(End::Planned);
    }

    fn send(&self, end: End) {
        // A send fails only where the stand-in is over already.
        let _ = self.0.send(end);
    }
}

/// The receiving side of an [`EndHandle`].
pub(crate) struct EndSignal(mpsc::UnboundedReceiver<End>);

/// A connected pair of handle and signal.
pub(crate) fn end_channel() -> (EndHandle, EndSignal) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (EndHandle(sender), EndSignal(receiver))
}

/// A stand-in that serves. Dropping it ends it abruptly.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its fault switches.
    pub faults: Arc<FaultSwitches>,
    end: EndHandle,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Finishes what is open, then ends; returns when it is over.
    pub fn stop(mut self) {
        self.end.stop();
        self.join();
    }

    /// Drops every connection and ends at once, as `kill -9` does; returns when it is over.
    pub fn kill(mut self) {
        self.begin_kill();
        self.join();
    }

    /// Waits until it ends by itself.
    pub fn wait(mut self) {
        self.join();
    }

    fn begin_kill(&self) {
        self.faults.update(&FaultUpdate {
            cut: Some(true),
            freeze: Some(false),
            ..FaultUpdate::default()
        });
        self.end.send(End::Abrupt);
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of the stand-in at {} panicked", self.address);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.begin_kill();
        }
    }
}

/// Starts a server named `name` on `address` whose calls `configure` adds.
pub(crate) fn launch<F>(
    name: &str,
    address: SocketAddr,
    faults: Arc<FaultSwitches>,
    (end, signal): (EndHandle, EndSignal),
    configure: F,
) -> anyhow::Result<Running>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let listener = create_tcp_listener(address, BACKLOG)
        .with_context(|| format!("{name}: listen on {address}"))?;
    let address = listener.local_addr()?;
    let served_faults = Arc::clone(&faults);
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let system = ntex::rt::System::new("standin", ntex::rt::DefaultRuntime);
            if let Err(error) = system.block_on(serve(listener, served_faults, signal, configure)) {
                log::error!("the stand-in at {address} failed: {error}");
            }
        })?;
    Ok(Running {
        address,
        faults,
        end,
        thread: Some(thread),
    })
}

async fn serve<F>(
    listener: TcpListener,
    faults: Arc<FaultSwitches>,
    mut signal: EndSignal,
    configure: F,
) -> std::io::Result<()>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE);
    let server = HttpServer::new(async move || {
        let connections = Connections::default();
        drop_on_command(&faults, connections.clone());
        App::new()
            .state(Arc::clone(&faults))
            .state(PayloadConfig::new(MAX_BODY_BYTES))
            .state(ntex::web::types::JsonConfig::default().limit(MAX_BODY_BYTES))
            .middleware(Gate::new(Arc::clone(&faults), connections))
            .configure(configure_switches)
            .configure(configure.clone())
    })
    .config(ntex::SharedCfg::new("standin").add(http))
    .workers(1)
    .disable_signals()
    .shutdown_timeout(Seconds(30))
    .listen(listener)?
    .run();
    let control = server.clone();
    let mut server = std::pin::pin!(server);
    tokio::select! {
        result = &mut server => result,
        end = signal.0.recv() => {
            control.stop(end == Some(End::Planned)).await;
            Ok(())
        }
    }
}
