//! The server for callers. It accepts connections itself and keeps their sockets, so that they end in order
//! ([`driftspring_callers`]); the library's own server closes a socket whatever its caller still sends.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::time::Duration;

use driftspring_callers::Lingering;
use driftspring_callers::socket::{CallerSocket, CallerStream};
use ntex::SharedCfg;
use ntex::http::HttpService;
use ntex::http::error::DispatchError;
use ntex::io::Io;
use ntex::rt::Arbiter;
use ntex::service::boxed::{self, BoxService};
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::time::sleep;
use ntex::web::App;
use ntex_server::{Server, ServerConfiguration, WorkerPool};
use tokio::sync::{Semaphore, watch};

use super::{FLUSH_TIMEOUT, http_config};
use crate::pipeline;
use crate::state::DaemonState;

/// Connections that a worker serves at once at the most, as with the library's server.
const MAX_CONNECTIONS: usize = 25_600;

/// The pause after a connection could not be accepted, as when all descriptors are in use.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How often open connections are counted during a stop.
const CONNECTIONS_POLL: Duration = Duration::from_millis(10);

/// The server for callers.
pub struct CallersServer(Server<TcpStream>);

impl CallersServer {
    /// Starts to accept connections, and the workers that serve them.
    pub fn start(state: &Arc<DaemonState>, listener: TcpListener) -> anyhow::Result<Self> {
        listener.set_nonblocking(true)?;
        let (accepting, accepts) = watch::channel(Accepting::Paused);
        let workers = Workers {
            state: Arc::clone(state),
            accepting: Arc::new(accepting),
        };
        let server = WorkerPool::new()
            .name("callers")
            .workers(state.settings.workers)
            .shutdown_timeout(FLUSH_TIMEOUT)
            .disable_signals()
            .run(workers);
        let pool = server.clone();
        let arbiter = Arbiter::with_name("callers:accept".to_owned());
        arbiter.handle().spawn(async move {
            if let Err(error) = accept(listener, accepts, pool).await {
                log::error!("no callers are accepted: {error:#}");
            }
        });
        Ok(Self(server))
    }

    /// Stops accepting; a graceful stop then waits until the connections have ended, at most for [`FLUSH_TIMEOUT`].
    pub async fn stop(&self, graceful: bool) {
        self.0.stop(graceful).await;
    }
}

/// Whether connections are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Accepting {
    /// Not now: no worker has room.
    Paused,
    Open,
    /// Not any more.
    Stopped,
}

/// Accepts connections for the workers until told to stop.
async fn accept(
    listener: TcpListener,
    mut accepts: watch::Receiver<Accepting>,
    pool: Server<TcpStream>,
) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    // A connection that came as a pause began.
    let mut waiting = None;
    loop {
        let accepting = *accepts.borrow_and_update();
        match accepting {
            Accepting::Stopped => return Ok(()),
            Accepting::Paused => {
                accepts.changed().await?;
                continue;
            }
            Accepting::Open => {}
        }
        if let Some(stream) = waiting.take() {
            waiting = pool.process(stream).err();
            if waiting.is_some() {
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
            continue;
        }
        tokio::select! {
            changed = accepts.changed() => changed?,
            accepted = listener.accept() => match accepted.and_then(|(stream, _)| stream.into_std()) {
                Ok(stream) => waiting = pool.process(stream).err(),
                Err(error) => {
                    log::warn!("no caller's connection accepted: {error}");
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
        }
    }
}

/// Makes the services of the workers.
#[derive(Clone)]
struct Workers {
    state: Arc<DaemonState>,
    accepting: Arc<watch::Sender<Accepting>>,
}

impl ServerConfiguration for Workers {
    type Item = TcpStream;
    type Factory = WorkerFactory;

    async fn create(&self) -> Result<WorkerFactory, ()> {
        Ok(WorkerFactory(Arc::clone(&self.state)))
    }

    fn paused(&self) {
        self.accepting.send_replace(Accepting::Paused);
    }

    fn resumed(&self) {
        self.accepting.send_replace(Accepting::Open);
    }

    fn terminate(&self) {
        self.accepting.send_replace(Accepting::Stopped);
    }

    async fn stop(&self) {
        self.accepting.send_replace(Accepting::Stopped);
        // Until the listener is closed.
        self.accepting.closed().await;
    }
}

struct WorkerFactory(Arc<DaemonState>);

impl ServiceFactory<TcpStream> for WorkerFactory {
    type Response = ();
    type Error = ();
    type Service = CallersService<BoxService<Io, (), DispatchError>>;
    type InitError = ();

    async fn create(&self, (): ()) -> Result<Self::Service, ()> {
        let state = Arc::clone(&self.0);
        let config = http_config();
        let lingering = Lingering::new(state.metrics.lingering.clone());
        lingering.set_max_body_bytes(state.settings.request.max_body_bytes);
        let app = App::new().configure(move |config| pipeline::configure(config, state));
        let http = HttpService::new(app).create(config.clone()).await?;
        Ok(CallersService {
            http: boxed::service(http),
            config,
            lingering,
            connections: Semaphore::new(MAX_CONNECTIONS),
        })
    }
}

/// Serves the connections of one worker.
struct CallersService<S> {
    http: S,
    config: SharedCfg,
    lingering: Rc<Lingering>,
    connections: Semaphore,
}

impl<S: Service<Io>> Service<TcpStream> for CallersService<S> {
    type Response = ();
    type Error = ();

    async fn ready(&self, context: ServiceCtx<'_, Self>) -> Result<(), ()> {
        let _room = self.connections.acquire().await.map_err(|_| ())?;
        context.ready(&self.http).await.map_err(|_| ())
    }

    fn poll(&self, task: &mut Context<'_>) -> Result<(), ()> {
        self.http.poll(task).map_err(|_| ())
    }

    async fn shutdown(&self) {
        self.http.shutdown().await;
        while self.lingering.connections() > 0 {
            sleep(CONNECTIONS_POLL).await;
        }
    }

    async fn call(&self, stream: TcpStream, context: ServiceCtx<'_, Self>) -> Result<(), ()> {
        let _permit = self.connections.acquire().await.map_err(|_| ())?;
        let stream = open(stream).map_err(|error| log::debug!("a caller's connection: {error}"))?;
        let io = CallerStream::open(stream, self.config.clone(), Rc::clone(&self.lingering));
        if let Some(socket) = CallerSocket::of(&io) {
            // As with the library's own sockets: the work for a caller that ends its side ends at once.
            socket.end_with_caller();
        }
        // The library logs the errors of a connection; they concern nothing else.
        let _ = context.call(&self.http, io).await;
        Ok(())
    }
}

fn open(stream: TcpStream) -> std::io::Result<tokio::net::TcpStream> {
    stream.set_nodelay(true)?;
    tokio::net::TcpStream::from_std(stream)
}
