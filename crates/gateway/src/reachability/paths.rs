//! The paths to all services.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use super::service_path::ServicePath;

/// The paths to all services that were used.
#[derive(Debug, Default)]
pub struct Paths {
    by_service: RefCell<HashMap<String, Rc<ServicePath>>>,
    /// Wakes what waits for the loss or the return of a path.
    pub changed: Notify,
}

impl Paths {
    /// The path to a service.
    pub fn of(&self, service: &str) -> Rc<ServicePath> {
        if let Some(known) = self.by_service.borrow().get(service) {
            return Rc::clone(known);
        }
        let mut by_service = self.by_service.borrow_mut();
        Rc::clone(by_service.entry(service.to_owned()).or_default())
    }

    /// The names of the services whose paths are lost.
    pub fn lost(&self) -> Vec<String> {
        let by_service = self.by_service.borrow();
        let lost = by_service.iter().filter(|(_, path)| path.is_lost());
        lost.map(|(service, _)| service.clone()).collect()
    }
}
