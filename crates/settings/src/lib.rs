//! The daemon's settings file and flags, checked value by value.

pub mod model;

pub use model::{
    BootstrapEngine, BootstrapSettings, ClaimSettings, ListenSettings, LogSettings,
    MechanismSettings, PlatformSettings, RequestSettings, RoutingPolicy, RoutingSettings, Settings,
};
