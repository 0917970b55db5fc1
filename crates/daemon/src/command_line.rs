//! The flags of the daemon, and the settings that they give.

use std::path::PathBuf;

use driftspring_settings::{InvalidAssignment, Overrides};

xflags::xflags! {
    /// The driftspring router daemon.
    cmd driftspring {
        /// Serves until SIGTERM or SIGINT. Flags go before the settings file.
        cmd run {
            /// The settings file (TOML); see docs/CONFIG.md.
            optional -c, --config file: PathBuf
            /// The daemon's unique name (`id`).
            optional --id id: String
            /// The daemon's zone (`zone`).
            optional --zone zone: String
            /// The address for callers (`listen.callers`).
            optional --callers address: String
            /// The address for operators (`listen.operators`).
            optional --operators address: String
            /// The address for other daemons (`listen.peers`).
            optional --peers address: String
            /// Peer addresses of other daemons, separated by commas (`seeds`).
            optional --seeds addresses: String
            /// Any other setting as key=value, such as request.token_timeout=2s.
            repeated --set assignment: String
        }
        /// Checks a settings file and lists every fault.
        cmd check-config {
            /// The settings file (TOML).
            required file: PathBuf
        }
        /// Reads a bearer key from standard input and prints its hash, as settings and orders name it.
        cmd hash-key {}
        /// Prints the catalogue of log events, the source of docs/EVENTS.md.
        cmd events {}
    }
}

impl Run {
    /// The settings given by flags; `--set` goes before the named flags.
    pub fn overrides(&self) -> Result<Overrides, InvalidAssignment> {
        let named = Overrides::none()
            .with_optional("id", self.id.clone())
            .with_optional("zone", self.zone.clone())
            .with_optional("listen.callers", self.callers.clone())
            .with_optional("listen.operators", self.operators.clone())
            .with_optional("listen.peers", self.peers.clone())
            .with_optional("seeds", self.seeds.clone());
        named.with_assignments(self.set.iter().map(String::as_str))
    }
}
