//! The command line of the gateway.

use std::path::PathBuf;

xflags::xflags! {
    /// The driftspring gateway: routes requests to replicas on the operator's platform without reading their content.
    cmd driftspring-gateway {
        /// Serves until SIGTERM or SIGINT; reloads the settings on SIGHUP.
        cmd run {
            /// The settings file (TOML); see docs/CONFIG.md.
            required file: PathBuf
        }
        /// Checks a settings file and lists all errors in it.
        cmd check-config {
            /// The settings file (TOML).
            required file: PathBuf
        }
        /// Lists the store's records of requests that crashed replicas: fingerprint, crashes, whether quarantined.
        cmd quarantine {
            /// The settings file (TOML), which gives the address of the store.
            required file: PathBuf
            /// Releases the request with this fingerprint from quarantine; all gateways then send it to replicas again.
            optional --release fingerprint: String
        }
    }
}
