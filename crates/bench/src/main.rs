//! The `driftspring-bench` command: demo, load and experiments.

use std::process::ExitCode;

use driftspring_bench::flags::{DriftspringBench, DriftspringBenchCmd};

fn main() -> ExitCode {
    let flags = DriftspringBench::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("driftspring-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: DriftspringBench) -> anyhow::Result<()> {
    match flags.subcommand {
        DriftspringBenchCmd::Demo(options) => driftspring_bench::demo::run(&options),
        DriftspringBenchCmd::Run(options) => driftspring_bench::live::run(&options),
        DriftspringBenchCmd::Overhead(options) => driftspring_bench::overhead::run(&options),
        DriftspringBenchCmd::ServeEngines(options) => {
            driftspring_bench::overhead::serve_engines(&options)
        }
        DriftspringBenchCmd::ServeDaemon(options) => {
            driftspring_bench::overhead::serve_daemon(&options)
        }
        DriftspringBenchCmd::Compare(options) => driftspring_bench::compare::run(&options),
        DriftspringBenchCmd::Decision(options) => driftspring_bench::decision::run(&options),
        DriftspringBenchCmd::Worth(options) => driftspring_bench::worth::run(&options),
    }
}
