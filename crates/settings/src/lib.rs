//! The daemon's settings file and flags, checked value by value.
//!
//! [`load`] reads a file, [`check`] only its text; both list every fault with its line, key and what
//! was expected. Values of the command line ([`Overrides`]) go before those of the file.

mod bootstrap;
mod document;
mod error;
mod flags;
mod gateway;
mod load;
pub mod model;
mod values;

pub use error::{LoadError, Origin, Problem, SettingError};
pub use flags::{InvalidAssignment, Overrides};
pub use gateway::{
    Births, GatewayFairShares, GatewayListen, GatewayMachine, GatewayQuotas, GatewayRetries,
    GatewaySettings, GatewayTimes, InterferenceMode, check_gateway, load_gateway,
};
pub use load::{check, check_with, load};
pub use model::{
    BootstrapEngine, BootstrapSettings, ClaimSettings, ListenSettings, LogSettings,
    MechanismSettings, PlatformSettings, RequestSettings, RoutingPolicy, RoutingSettings, Settings,
};
