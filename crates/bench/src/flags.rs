//! The command line of `driftspring-bench`.
//!
//! Each module reads the flags of its own command.

#![allow(
    missing_docs,
    reason = "the items are made by the macro, which documents its flags only"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Load, experiments and plots for driftspring.
    cmd driftspring-bench {
        /// Runs a small system in one process, kills an engine midway and prints what happened.
        cmd demo {
            /// Seed of the workload.
            optional --seed seed: u64
            /// Requests to send.
            optional --requests requests: usize
        }
        /// Sends an open-loop workload to daemons and reports latencies.
        cmd run {
            /// `directorate` or `moreton`.
            optional --workload workload: String
            /// Seed of the workload.
            optional --seed seed: u64
            /// Length of the run, in seconds.
            optional --seconds seconds: u64
            /// Requests per second over all tenants.
            optional --rate rate: f64
            /// `IP:port` of a daemon's callers interface; may be repeated. Without any, a system is embedded.
            repeated --daemon daemon: String
            /// Where to write the result as JSON.
            optional --json json: PathBuf
            /// Where to write the report as HTML.
            optional --html html: PathBuf
            /// Where to write the history of invocations and responses.
            optional --history history: PathBuf
        }
        /// Measures what the router costs compared with calling the engine directly.
        cmd overhead {
            /// Seed of the workload.
            optional --seed seed: u64
            /// Length of each measured part, in seconds.
            optional --seconds seconds: u64
            /// Requests per second each way for the latencies; 60% of the measured saturation without it.
            optional --rate rate: f64
            /// Where to write the result as JSON.
            optional --json json: PathBuf
        }
        /// Serves stand-in engines until the standard input ends; used by `overhead`.
        cmd serve-engines {
            /// Number of engines.
            required --count count: usize
            /// Milliseconds between the tokens of an answer.
            required --step-ms milliseconds: u64
        }
        /// Serves one daemon until the standard input ends; used by `overhead`.
        cmd serve-daemon {
            /// The engines' `IP:port`, separated by commas.
            required --engines engines: String
            /// Worker threads.
            optional --workers workers: usize
        }
        /// Compares routing policies on the same trace in virtual time.
        cmd compare {
            /// Seed of the first trace.
            optional --seed seed: u64
            /// How many traces, each with the next seed; the results are averaged.
            optional --traces traces: u64
            /// `directorate` or `moreton`; both without this flag.
            optional --workload workload: String
            /// Where to write the result as JSON.
            optional --json json: PathBuf
            /// Where to write the report as HTML.
            optional --html html: PathBuf
        }
        /// Measures the time and memory of one routing decision.
        cmd decision {
            /// Where to write the result as JSON.
            optional --json json: PathBuf
        }
        /// Shows where the worth of each day of a journal entry of the operator's bench goes.
        cmd worth {
            /// The entry, a JSON file.
            required --entry entry: PathBuf
            /// Where to write the picture as SVG.
            optional --svg svg: PathBuf
        }
    }
}
