//! The flags of the gateway.

use std::path::PathBuf;

xflags::xflags! {
    /// The driftspring gateway: routes opaque requests to replicas on the operator's platform.
    cmd driftspring-gateway {
        /// Serves until SIGTERM or SIGINT; reads the settings again at SIGHUP.
        cmd run {
            /// The settings file (TOML); see docs/CONFIG.md.
            required file: PathBuf
        }
        /// Checks a settings file and lists every fault.
        cmd check-config {
            /// The settings file (TOML).
            required file: PathBuf
        }
    }
}
