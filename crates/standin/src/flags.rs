//! The command line of `driftspring-standin`.

#![allow(
    missing_docs,
    reason = "the items are made by the macro, which documents its flags only"
)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins for the systems around driftspring. Each prints `{"kind", "address"}` when it listens.
    cmd driftspring-standin {
        /// `IP:port` to listen on; a free port of 127.0.0.1 without it. Not for `all`.
        optional --listen address: SocketAddr

        /// A model engine.
        cmd engine {
            /// Its name.
            required --id id: String
            /// Its zone.
            required --zone zone: String
            /// The model that it serves.
            required --model model: String
            /// The version of its weights.
            optional --weights-version version: u64
            /// `IP:port` of the weight store.
            optional --weight-store address: SocketAddr
            /// Blocks that its cache holds.
            optional --cache-blocks blocks: usize
            /// Milliseconds after which an unused block is evicted.
            optional --cache-age-ms milliseconds: u64
            /// Microseconds to compute one prompt token.
            optional --prefill-microseconds microseconds: f64
        }
        /// The object store.
        cmd object-store {}
        /// The list of machines.
        cmd machine-list {
            /// A machine, as `engine|daemon,ID,IP:PORT,ZONE`; may be repeated.
            repeated --machine machine: String
        }
        /// The weight store.
        cmd weight-store {
            /// Parallel loads that it is rated for.
            optional --rated-loads loads: u32
            /// Milliseconds of a load within the rating.
            optional --load-ms milliseconds: u64
        }
        /// The store of kept KV cache.
        cmd kv-store {}
        /// A legacy upstream.
        cmd legacy {}
        /// All of them on free ports, with some engines that the machine list names.
        cmd all {
            /// Number of engines.
            optional --engines engines: usize
            /// Number of zones, `zone-1` and up, over which the engines are spread.
            optional --zones zones: usize
            /// The model that they serve.
            optional --model model: String
        }
    }
}
