//! The filter in front of every stand-in: it applies the faults that are common to all.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use ntex::http::Method;
use ntex::io::IoRef;
use ntex::web::{self, HttpResponse, WebRequest, WebResponse};
use ntex::{Middleware, Service, ServiceCtx, SharedCfg};

use crate::faults::{FaultSwitches, FaultUpdate};

/// Paths below this one are the switches themselves: faults don't touch them, nor the connections that ask for
/// them, which could not be answered otherwise.
const SWITCHES_PATH: &str = "/standin/";

/// The open connections of one worker thread that faults may drop.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    open: Rc<RefCell<Vec<IoRef>>>,
}

impl Connections {
    fn add(&self, connection: &IoRef) {
        let mut open = self.open.borrow_mut();
        open.retain(|known| !known.is_closed());
        if open.iter().all(|known| known != connection) {
            open.push(connection.clone());
        }
    }

    /// Spares the connection from the drops that come before its next ordinary call.
    fn spare(&self, connection: &IoRef) {
        self.open.borrow_mut().retain(|known| known != connection);
    }

    fn drop_all(&self) {
        for connection in self.open.borrow_mut().drain(..) {
            connection.terminate();
        }
    }
}

/// Drops the connections whenever the switches say so, for as long as the worker lives.
pub(crate) fn drop_on_command(faults: &FaultSwitches, connections: Connections) {
    let mut drops = faults.subscribe_drops();
    ntex::rt::spawn(async move {
        while drops.changed().await.is_ok() {
            connections.drop_all();
        }
    });
}

/// The filter's factory.
pub(crate) struct Gate {
    faults: Arc<FaultSwitches>,
    connections: Connections,
}

impl Gate {
    pub(crate) fn new(faults: Arc<FaultSwitches>, connections: Connections) -> Self {
        Self {
            faults,
            connections,
        }
    }
}

impl<S> Middleware<S, SharedCfg> for Gate {
    type Service = GateService<S>;

    fn create(&self, service: S, _: SharedCfg) -> Self::Service {
        GateService {
            service,
            faults: Arc::clone(&self.faults),
            connections: self.connections.clone(),
        }
    }
}

/// The filter.
pub(crate) struct GateService<S> {
    service: S,
    faults: Arc<FaultSwitches>,
    connections: Connections,
}

impl<S, E> Service<WebRequest<E>> for GateService<S>
where
    S: Service<WebRequest<E>, Response = WebResponse>,
{
    type Response = WebResponse;
    type Error = S::Error;

    ntex::forward_poll!(service);
    ntex::forward_ready!(service);
    ntex::forward_shutdown!(service);

    async fn call(
        &self,
        request: WebRequest<E>,
        context: ServiceCtx<'_, Self>,
    ) -> Result<Self::Response, Self::Error> {
        let connection = request.io().cloned();
        if request.path().starts_with(SWITCHES_PATH) {
            if let Some(connection) = &connection {
                self.connections.spare(connection);
            }
            return context.call(&self.service, request).await;
        }
        if let Some(connection) = &connection {
            self.connections.add(connection);
        }
        if self.faults.current().cut {
            terminate(connection.as_ref());
        }
        let has_effect = request.method() != Method::GET;
        match has_effect {
            true => self.faults.thawed_for_write(request.path()).await,
            false => self.faults.thawed().await,
        }
        let delay = self.faults.answer_delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.faults.current().down {
            return Ok(request.into_response(HttpResponse::ServiceUnavailable().finish()));
        }
        let response = context.call(&self.service, request).await?;
        if has_effect && self.faults.take_lost_answer() {
            terminate(connection.as_ref());
        }
        Ok(response)
    }
}

fn terminate(connection: Option<&IoRef>) {
    if let Some(connection) = connection {
        connection.terminate();
    }
}

/// Adds the calls that show and turn the switches.
pub(crate) fn configure_switches(config: &mut web::ServiceConfig) {
    let faults = web::resource("/standin/faults")
        .route(web::get().to(show_faults))
        .route(web::post().to(update_faults));
    config.service(faults);
}

async fn show_faults(faults: web::types::State<Arc<FaultSwitches>>) -> HttpResponse {
    HttpResponse::Ok().json(&faults.current())
}

async fn update_faults(
    faults: web::types::State<Arc<FaultSwitches>>,
    update: web::types::Json<FaultUpdate>,
) -> HttpResponse {
    faults.update(&update);
    HttpResponse::Ok().json(&faults.current())
}
