//! The `driftspring-standin` command, callable from other programs' thin wrappers.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use crate::engine::{self, EngineStandinOptions, RunningEngine};
use crate::flags::{
    All, DriftspringStandin, DriftspringStandinCmd, Engine, MachineList, WeightStore,
};
use crate::machine_list::{self, Machine, MachineKind, MachineState};
use crate::weight_store::{self, WeightStoreOptions};
use crate::{Running, kv_store, legacy, object_store};
use anyhow::Context;
use driftspring_types::WeightsVersion;

const FREE_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(600);
const DEFAULT_RATED_LOADS: u32 = 2;
const DEFAULT_ENGINES: usize = 4;
const DEFAULT_ZONES: usize = 2;
const DEFAULT_MODEL: &str = "model";

/// Runs the command on the process's own flags.
pub fn main() -> ExitCode {
    let flags = DriftspringStandin::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("driftspring-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: DriftspringStandin) -> anyhow::Result<()> {
    let _logger = flexi_logger::Logger::try_with_env_or_str("warn")?.start()?;
    let address = flags.listen.unwrap_or(FREE_PORT);
    match flags.subcommand {
        DriftspringStandinCmd::Engine(flags) => {
            let options = engine_options(flags, address);
            serve("engine", engine::start(options)?.server);
        }
        DriftspringStandinCmd::ObjectStore(_) => {
            serve("object-store", object_store::start(address)?.server);
        }
        DriftspringStandinCmd::MachineList(flags) => {
            let machines = parse_machines(&flags)?;
            serve(
                "machine-list",
                machine_list::start(address, machines)?.server,
            );
        }
        DriftspringStandinCmd::WeightStore(flags) => {
            let options = weight_store_options(&flags, address);
            serve("weight-store", weight_store::start(options)?);
        }
        DriftspringStandinCmd::KvStore(_) => serve("kv-store", kv_store::start(address)?),
        DriftspringStandinCmd::Legacy(_) => serve("legacy", legacy::start(address)?.server),
        DriftspringStandinCmd::All(flags) => run_all(flags)?,
    }
    Ok(())
}

/// Prints the address and waits for the end.
fn serve(kind: &str, server: Running) {
    announce(kind, &server);
    server.wait();
}

fn announce(kind: &str, server: &Running) {
    println!(
        "{{\"kind\": \"{kind}\", \"address\": \"{}\"}}",
        server.address
    );
}

fn engine_options(flags: Engine, address: SocketAddr) -> EngineStandinOptions {
    let mut options = EngineStandinOptions::loopback(&flags.id, &flags.zone, &flags.model);
    options.address = address;
    options.weight_store = flags.weight_store;
    if let Some(version) = flags.weights_version {
        options.weights_version = WeightsVersion(version);
    }
    if let Some(blocks) = flags.cache_blocks {
        options.engine.cache_capacity_blocks = blocks;
    }
    if let Some(milliseconds) = flags.cache_age_ms {
        options.engine.cache_max_age = Duration::from_millis(milliseconds);
    }
    if let Some(microseconds) = flags.prefill_microseconds {
        options.engine.prefill_microseconds_per_token = microseconds;
    }
    options
}

fn weight_store_options(flags: &WeightStore, address: SocketAddr) -> WeightStoreOptions {
    let load_time = flags.load_ms.map(Duration::from_millis);
    WeightStoreOptions {
        address,
        load_time: load_time.unwrap_or(DEFAULT_LOAD_TIME),
        rated_loads: flags.rated_loads.unwrap_or(DEFAULT_RATED_LOADS),
    }
}

fn parse_machines(flags: &MachineList) -> anyhow::Result<Vec<Machine>> {
    let parse = |text: &String| parse_machine(text).with_context(|| format!("--machine {text:?}"));
    flags.machine.iter().map(parse).collect()
}

fn parse_machine(text: &str) -> anyhow::Result<Machine> {
    let fields: Vec<&str> = text.split(',').collect();
    let [kind, id, address, zone] = fields[..] else {
        anyhow::bail!("expected engine|daemon,ID,IP:PORT,ZONE");
    };
    let kind = match kind {
        "engine" => MachineKind::Engine,
        "daemon" => MachineKind::Daemon,
        other => anyhow::bail!("unknown kind {other:?}"),
    };
    Ok(machine(kind, id, address, zone))
}

fn machine(kind: MachineKind, id: &str, address: &str, zone: &str) -> Machine {
    Machine {
        id: id.to_owned(),
        kind,
        address: address.to_owned(),
        zone: zone.to_owned(),
        state: MachineState::Live,
    }
}

fn run_all(flags: All) -> anyhow::Result<()> {
    let store = object_store::start(FREE_PORT)?;
    let weights = weight_store::start(WeightStoreOptions {
        address: FREE_PORT,
        load_time: DEFAULT_LOAD_TIME,
        rated_loads: DEFAULT_RATED_LOADS,
    })?;
    let kept = kv_store::start(FREE_PORT)?;
    let legacy = legacy::start(FREE_PORT)?;
    let engines = start_engines(&flags, weights.address)?;
    let machines = engines.iter().map(engine_machine).collect();
    let machines = machine_list::start(FREE_PORT, machines)?;
    announce("object-store", &store.server);
    announce("weight-store", &weights);
    announce("kv-store", &kept);
    announce("legacy", &legacy.server);
    announce("machine-list", &machines.server);
    for engine in &engines {
        announce("engine", &engine.server);
    }
    store.server.wait();
    Ok(())
}

fn start_engines(flags: &All, weight_store: SocketAddr) -> anyhow::Result<Vec<RunningEngine>> {
    let zones = flags.zones.unwrap_or(DEFAULT_ZONES).max(1);
    let model = flags.model.as_deref().unwrap_or(DEFAULT_MODEL);
    (0..flags.engines.unwrap_or(DEFAULT_ENGINES))
        .map(|index| {
            let id = format!("engine-{}", index + 1);
            let zone = format!("zone-{}", index % zones + 1);
            let mut options = EngineStandinOptions::loopback(&id, &zone, model);
            options.weight_store = Some(weight_store);
            engine::start(options)
        })
        .collect()
}

fn engine_machine(engine: &RunningEngine) -> Machine {
    let options = engine.state.options();
    let address = engine.server.address.to_string();
    machine(
        MachineKind::Engine,
        options.id.as_str(),
        &address,
        options.zone.as_str(),
    )
}
