//! Sockets, readiness, start and stop of a gateway.
//!
//! One thread serves callers and follows the store: the machines have a fraction of a core, and a second thread would only
//! add wake-ups. A second small server answers readiness probes.

mod listeners;
mod stop;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context, anyhow};
use driftspring_settings::{GatewaySettings, load_gateway};
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig};
use ntex::io::IoConfig;
use ntex::rt::{DefaultRuntime, System};
use ntex::server::Server;
use ntex::service::ServiceFactory;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpResponse, HttpServer};
use tokio::sync::oneshot;

use crate::cache;
use crate::caller_limits;
use crate::callers;
use crate::forwarding;
use crate::interference;
use crate::peers;
use crate::pipeline;
use crate::protocol::Platform;
use crate::rollout;
use crate::standstill;
use crate::state::GatewayState;
use crate::status::{SharedStatus, StopPhase};
use crate::store;
use listeners::Listeners;

/// How long an idle connection of a reader of a page is kept open.
const PAGE_KEEP_ALIVE: Seconds = Seconds(75);

/// Time limit for the reader of a page to take the rest of it once its connection is being closed.
const PAGE_DISCONNECT_TIMEOUT: Seconds = Seconds(30);

/// Starts gateways.
pub struct Gateway;

/// A gateway that runs in this process.
pub struct RunningGateway {
    /// Status that its threads share.
    pub status: Arc<SharedStatus>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub health: SocketAddr,
    settings: GatewaySettings,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl Gateway {
    /// Binds every address, then starts to serve.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or a thread can't be started.
    pub fn start(
        settings: GatewaySettings,
        platform: Arc<dyn Platform>,
    ) -> anyhow::Result<RunningGateway> {
        let listeners = Listeners::bind(&settings.listen, settings.forwarding_enabled)?;
        let (callers, health) = listeners.addresses()?;
        let status = Arc::new(SharedStatus::default());
        let (stop, stopped) = oneshot::channel();
        let (started, start_signal) = mpsc::channel();
        let thread_status = Arc::clone(&status);
        let thread_settings = settings.clone();
        let thread = std::thread::Builder::new()
            .name("gateway".to_owned())
            .spawn(move || {
                let system = System::new("gateway", DefaultRuntime);
                system.block_on(async move {
                    let servers =
                        Servers::start(&thread_settings, &platform, &thread_status, listeners)
                            .await?;
                    // If the receiver is gone, the start was given up.
                    let _ = started.send(());
                    // A dropped sender also means that the gateway has to stop.
                    let _ = stopped.await;
                    servers.stop().await;
                    Ok(())
                })
            })
            .context("starting the gateway's thread")?;
        let mut running = RunningGateway {
            status,
            callers,
            health,
            settings,
            stop: Some(stop),
            thread: Some(thread),
        };
        if start_signal.recv().is_err() {
            running.join()?;
            return Err(anyhow!("the gateway ended before it served"));
        }
        log_event!(
            gateway::GATEWAY_STARTED,
            "name={} zone={} callers={callers} health={health} store={}",
            running.settings.name,
            running.settings.zone,
            running.settings.store
        );
        Ok(running)
    }
}

impl RunningGateway {
    /// Planned stop: reports itself as not ready, waits for open requests to end, then ends the gateway.
    ///
    /// # Errors
    ///
    /// The gateway's thread failed.
    pub fn stop(mut self) -> anyhow::Result<()> {
        self.drain();
        self.shut_down()
    }

    /// First part of a planned stop: reports itself as not ready, then waits for open requests to end. The process
    /// should end right after it; in a process that goes on, use [`RunningGateway::stop`].
    pub fn drain(&self) {
        self.status.raise_stop_phase(StopPhase::Redirecting);
        log_event!(
            gateway::GATEWAY_STOPPING,
            "open={}",
            self.status.open_requests.load(Ordering::Acquire)
        );
        let unfinished = stop::wait_for_open_requests(&self.status, self.settings.times.stop_grace);
        log_event!(
            gateway::GATEWAY_STOPPED,
            "open={} unsent={} lingering={}",
            unfinished.open_requests,
            unfinished.unsent_connections,
            unfinished.lingering_connections
        );
    }

    /// Reads the settings file again. Listening addresses stay as they are; invalid settings change nothing.
    pub fn reload(&self, file: &Path) {
        match load_gateway(file) {
            Ok(settings) => {
                let is_changed = settings != self.settings;
                log_event!(gateway::SETTINGS_RELOADED, "changed={is_changed}");
                if let Ok(mut reloaded) = self.status.reloaded.lock() {
                    *reloaded = Some(settings);
                }
            }
            Err(error) => log_event!(gateway::SETTINGS_REJECTED, "error={:?}", error.to_string()),
        }
    }

    /// Ends at once, as a crash would.
    pub fn kill(mut self) {
        self.shut_down_and_log();
    }

    fn shut_down(&mut self) -> anyhow::Result<()> {
        self.stop = None;
        self.join()
    }

    /// Ends the gateway and logs a failure of its thread, where there is no caller to return it to.
    fn shut_down_and_log(&mut self) {
        if let Err(error) = self.shut_down() {
            log::warn!("the gateway failed: {error:#}");
        }
    }

    fn join(&mut self) -> anyhow::Result<()> {
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        thread
            .join()
            .map_err(|_| anyhow!("the gateway's thread panicked"))?
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        self.shut_down_and_log();
    }
}

/// HTTP servers of pages. Callers are served on the gateway's own thread, until it ends.
struct Servers {
    health: Server,
    metrics: Option<Server>,
}

impl Servers {
    async fn start(
        settings: &GatewaySettings,
        platform: &Arc<dyn Platform>,
        status: &Arc<SharedStatus>,
        listeners: Listeners,
    ) -> anyhow::Result<Self> {
        let metrics = listeners
            .metrics
            .map(|listener| serve_metrics(status, listener));
        serve_callers(
            settings,
            platform,
            status,
            listeners.callers,
            listeners.peers,
            listeners.forwarded,
        )
        .await?;
        Ok(Self {
            health: serve_health(status, listeners.health)?,
            metrics: metrics.transpose()?,
        })
    }

    async fn stop(self) {
        let metrics = self.metrics.iter();
        let servers = [&self.health].into_iter().chain(metrics);
        futures_util::future::join_all(servers.map(|server| server.stop(false))).await;
    }
}

/// Starts the gateway's tasks on this thread and serves callers until the returned task is aborted.
async fn serve_callers(
    settings: &GatewaySettings,
    platform: &Arc<dyn Platform>,
    status: &Arc<SharedStatus>,
    listener: TcpListener,
    peers_socket: UdpSocket,
    forwarded: Option<TcpListener>,
) -> anyhow::Result<()> {
    let state = GatewayState::new(settings.clone(), Arc::clone(platform), Arc::clone(status));
    let http = caller_limits::http_config();
    let io =
        IoConfig::new().set_disconnect_timeout(disconnect_timeout(settings.times.caller_stall));
    let config: SharedCfg = SharedCfg::new("callers").add(http).add(io).into();
    let app = App::new()
        .state(Rc::clone(&state))
        .default_service(web::route().to(pipeline::respond));
    let service = HttpService::new(app).create(config.clone()).await;
    let service = service.map_err(|()| anyhow!("the HTTP service can't be created"))?;
    let listener = callers::accept::register(listener)?;
    spawn_tasks(&state, peers_socket, forwarded);
    ntex::rt::spawn(callers::accept::run(state, listener, service, config));
    Ok(())
}

/// Starts the tasks that run beside the requests.
fn spawn_tasks(state: &Rc<GatewayState>, peers_socket: UdpSocket, forwarded: Option<TcpListener>) {
    store::spawn_all(state);
    ntex::rt::spawn(peers::limit_confirmation_wait(Rc::clone(state)));
    ntex::rt::spawn(peers::run(Rc::clone(state), peers_socket));
    if let Some(listener) = forwarded {
        ntex::rt::spawn(forwarding::run_server(Rc::clone(state), listener));
    }
    ntex::rt::spawn(forwarding::run_task(Rc::clone(state)));
    ntex::rt::spawn(cache::run(Rc::clone(state)));
    ntex::rt::spawn(stop::follow_stop(Rc::clone(state)));
    let held = Rc::clone(state);
    ntex::rt::spawn(async move {
        let limit = || held.times.get().caller_stall;
        held.held_bytes.end_stalled(limit).await;
    });
    ntex::rt::spawn(rollout::run(Rc::clone(state)));
    ntex::rt::spawn(standstill::watch(Rc::clone(state)));
    ntex::rt::spawn(interference::run(Rc::clone(state)));
    ntex::rt::spawn(caller_limits::apply(Rc::clone(state)));
}

/// Time limit for the last bytes of a connection that is being closed: the same as for an answer of which its caller takes
/// nothing. The library's own is 1 s.
fn disconnect_timeout(caller_stall: Duration) -> Seconds {
    let seconds = caller_stall.as_secs_f64().ceil().max(1.0);
    // Saturates: the library counts in 16 bits.
    Seconds(seconds as u16)
}

fn serve_health(status: &Arc<SharedStatus>, listener: TcpListener) -> anyhow::Result<Server> {
    let status = Arc::clone(status);
    serve_page(listener, move || {
        let status = Arc::clone(&status);
        match status.is_ready() {
            true => HttpResponse::Ok().finish(),
            false => HttpResponse::ServiceUnavailable().finish(),
        }
    })
}

fn serve_metrics(status: &Arc<SharedStatus>, listener: TcpListener) -> anyhow::Result<Server> {
    let status = Arc::clone(status);
    serve_page(listener, move || {
        let page = status.metrics.page();
        HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4; charset=utf-8")
            .body(page)
    })
}

/// Serves one page under every path.
fn serve_page(
    listener: TcpListener,
    page: impl Fn() -> HttpResponse + Clone + Send + 'static,
) -> anyhow::Result<Server> {
    let server = HttpServer::new(async move || {
        let page = page.clone();
        App::new().default_service(web::route().to(move || {
            let response = page();
            async move { response }
        }))
    });
    let http = HttpServiceConfig::new().set_keepalive(PAGE_KEEP_ALIVE);
    let io = IoConfig::new().set_disconnect_timeout(PAGE_DISCONNECT_TIMEOUT);
    let server = server
        .config(SharedCfg::new("pages").add(http).add(io))
        .workers(1)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}
