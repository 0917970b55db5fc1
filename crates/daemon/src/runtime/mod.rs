//! Start and stop of a daemon: sockets, threads and the order of a planned stop.
//!
//! One thread runs the daemon's ntex system: the three HTTP servers (whose workers have threads of
//! their own) and the background tasks of `sync` and `control`. Gossip has its own thread.

mod callers;
mod sockets;
mod stop;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, anyhow};
use driftspring_history::{Event, Recorder};
use driftspring_settings::Settings;
use driftspring_telemetry::events::process;
use driftspring_telemetry::log_event;
use driftspring_types::Incarnation;
use futures_util::future::{join, join_all};
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::io::IoConfig;
use ntex::rt::{DefaultRuntime, System};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer, ServiceConfig};

use crate::state::{BoundAddresses, DaemonState, Phase};
use crate::{claims, control, operator, pipeline, sync};
use callers::CallersServer;
use sockets::{Listeners, PeerSockets};
use stop::StopSender;

/// Worker threads of the operators' and of the peers' server.
const INTERNAL_WORKERS: usize = 1;

/// How long a server's connections may take, once no request is open, to be flushed and closed: in a stop, where open
/// requests are waited for before, for `request.stop_timeout`, and whenever a connection is closed after an answer.
const FLUSH_TIMEOUT: Seconds = Seconds(5);

/// How long an idle connection is kept; the library's 5 s makes callers connect again and again.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Starts daemons.
pub struct Daemon;

/// A daemon that runs in this process.
pub struct RunningDaemon {
    /// What its threads share.
    pub state: Arc<DaemonState>,
    stop_sender: StopSender,
    system_thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl Daemon {
    /// Binds every address, then starts to serve. Listening comes first, so that callers that
    /// arrive while the first configuration is on its way are answered, not refused.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or a thread can't be started.
    pub fn start(settings: Settings) -> anyhow::Result<RunningDaemon> {
        let listeners = Listeners::bind(&settings.listen)?;
        let incarnation = Incarnation(unix_milliseconds());
        let recorder = match &settings.history_file {
            Some(path) => Recorder::to_file(path)?,
            None => Recorder::disabled(),
        };
        let addresses = listeners.addresses()?;
        let state = DaemonState::new(settings, incarnation, addresses, recorder);
        pipeline::add_bootstrap_engines(&state);
        let (stop_sender, stop_receiver) = stop::channel();
        let (started_sender, started_receiver) = mpsc::channel();
        let thread_state = Arc::clone(&state);
        let system_thread = std::thread::Builder::new()
            .name("driftspring".to_owned())
            .spawn(move || {
                let system = System::new("driftspring", DefaultRuntime);
                system.block_on(async move {
                    let servers = Servers::start(&thread_state, listeners)?;
                    let _ = started_sender.send(());
                    servers.run_until_stop(&thread_state, stop_receiver).await;
                    Ok(())
                })
            })
            .context("starting the daemon's thread")?;
        let running = RunningDaemon {
            state,
            stop_sender,
            system_thread: Some(system_thread),
        };
        let running = running.wait_until_started(&started_receiver)?;
        running.state.recorder.record(Event::DaemonStarted {
            daemon: running.state.settings.id.clone(),
            incarnation,
        });
        Ok(running)
    }
}

impl RunningDaemon {
    /// The addresses that it listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.state.addresses
    }

    /// A planned stop: leaves the membership, finishes open requests, then ends.
    ///
    /// # Errors
    ///
    /// The daemon's thread ended with an error.
    pub fn stop(mut self) -> anyhow::Result<()> {
        self.state.enter_phase(Phase::Stopping);
        self.stop_sender.stop(stop::StopKind::Planned);
        self.join()
    }

    /// Ends at once and drops every connection, as a crash would.
    pub fn kill(mut self) {
        self.end_at_once();
    }

    fn end_at_once(&mut self) {
        self.state.enter_phase(Phase::Terminated);
        self.stop_sender.stop(stop::StopKind::AtOnce);
        let _ = self.join();
    }

    fn join(&mut self) -> anyhow::Result<()> {
        let Some(thread) = self.system_thread.take() else {
            return Ok(());
        };
        thread
            .join()
            .map_err(|_| anyhow!("the daemon's thread panicked"))?
    }

    fn wait_until_started(mut self, started: &mpsc::Receiver<()>) -> anyhow::Result<Self> {
        if started.recv().is_ok() {
            return Ok(self);
        }
        self.join()?;
        Err(anyhow!("the daemon ended before it served"))
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        if self.system_thread.is_some() {
            self.end_at_once();
        }
    }
}

/// The three HTTP servers of a daemon.
struct Servers {
    callers: CallersServer,
    operators: Server,
    peers: Server,
}

impl Servers {
    /// Starts the servers and the background tasks.
    fn start(state: &Arc<DaemonState>, listeners: Listeners) -> anyhow::Result<Self> {
        let Listeners {
            callers,
            operators,
            peers,
        } = listeners;
        let PeerSockets { tcp, udp } = peers;
        let servers = Self {
            callers: CallersServer::start(state, callers)?,
            operators: serve(state, operators, operator::configure)?,
            peers: serve(state, tcp, sync::configure_peer_server)?,
        };
        sync::spawn_all(state, udp)?;
        pipeline::spawn_all(state);
        claims::spawn_all(state);
        control::spawn_all(state);
        log_started(state);
        Ok(servers)
    }

    /// Serves until told to stop; a planned stop waits for open requests first.
    async fn run_until_stop(self, state: &Arc<DaemonState>, stop: stop::StopReceiver) {
        let kind = stop.wait().await;
        let planned = kind == stop::StopKind::Planned && state.settings.mechanisms.graceful_stop;
        if planned {
            state.enter_phase(Phase::Stopping);
            sync::announce_leaving(state).await;
            stop::wait_for_open_requests(state).await;
            self.callers.stop(true).await;
        }
        state.enter_phase(Phase::Terminated);
        stop::end_workers();
        // Each server's stop takes a fixed pause of the library, so they stop side by side.
        let rest = [&self.operators, &self.peers].map(|server| server.stop(false));
        join(self.callers.stop(false), join_all(rest)).await;
    }
}

/// Starts one HTTP server inside of the system, whose workers each have the routes that `configure` adds.
fn serve(
    state: &Arc<DaemonState>,
    listener: TcpListener,
    configure: fn(&mut ServiceConfig, Arc<DaemonState>),
) -> std::io::Result<Server> {
    let shared = Arc::clone(state);
    let server = HttpServer::new(async move || {
        let state = Arc::clone(&shared);
        App::new().configure(move |config| configure(config, state))
    });
    let server = server
        .config(http_config())
        .workers(INTERNAL_WORKERS)
        .shutdown_timeout(FLUSH_TIMEOUT)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}

/// The limits of connections.
fn http_config() -> SharedCfg {
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE);
    let io = IoConfig::new().set_disconnect_timeout(FLUSH_TIMEOUT);
    SharedCfg::new("driftspring").add(http).add(io).into()
}

fn log_started(state: &DaemonState) {
    let addresses = state.addresses;
    log_event!(
        process::PROCESS_STARTED,
        "daemon={} incarnation={} callers={} operators={} peers={}",
        state.settings.id,
        state.incarnation,
        addresses.callers,
        addresses.operators,
        addresses.peers
    );
}

/// The present time in milliseconds since the Unix epoch.
fn unix_milliseconds() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
