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
        /// Lists the requests that ended replicas, as the store keeps them: fingerprint, ends, whether quarantined.
        cmd quarantine {
            /// The settings file (TOML), for the address of the store.
            required file: PathBuf
            /// Takes the request with this fingerprint out of quarantine; every gateway then sends it again.
            optional --release fingerprint: String
        }
    }
}
