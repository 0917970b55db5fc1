//! Accepts callers' connections.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use ntex::SharedCfg;
use ntex::io::Io;
use ntex::service::{Pipeline, Service};

use super::socket::CallerStream;
use crate::state::GatewayState;

/// The pause after a connection could not be accepted, as when all descriptors are in use.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Registers the listener with the runtime of this thread.
///
/// # Errors
///
/// The listener can't be used.
pub fn register(listener: TcpListener) -> anyhow::Result<tokio::net::TcpListener> {
    listener
        .set_nonblocking(true)
        .context("the listener for callers")?;
    tokio::net::TcpListener::from_std(listener).context("the listener for callers")
}

/// Accepts connections until a planned stop is over, and serves each with `service`, as `config` says.
pub async fn run<S>(
    state: Rc<GatewayState>,
    listener: tokio::net::TcpListener,
    service: S,
    config: SharedCfg,
) where
    S: Service<Io> + 'static,
{
    let service = Pipeline::new(service);
    while let Some(accepted) = state.listening.accept(&listener).await {
        match accepted {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("options of a caller's connection: {error}");
                }
                let io = CallerStream::open(stream, config.clone(), Rc::clone(&state.lingering));
                state.callers.record_open(&io);
                // The library logs the errors of a connection; they concern nothing else.
                ntex::rt::spawn(service.call_static(io));
            }
            Err(error) => {
                log::warn!("no caller's connection accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}
