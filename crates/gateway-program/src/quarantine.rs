//! `driftspring-gateway quarantine`: what the store keeps of requests that ended replicas, and their release.

use std::path::Path;
use std::process::ExitCode;

use anyhow::{Context, anyhow, bail};
use driftspring_gateway::protocol::{ObjectContent, QuarantineRecord};
use driftspring_gateway::quarantine::Fingerprint;
use driftspring_gateway::store::{QuarantineObject, delete_quarantined, list_quarantined};
use driftspring_platform::OperatorPlatform;
use driftspring_settings::load_gateway;
use ntex::rt::{DefaultRuntime, System};

/// Lists, or releases one.
pub(crate) fn run(file: &Path, release: Option<&str>) -> anyhow::Result<ExitCode> {
    let settings = load_gateway(file).map_err(|error| anyhow!("{error}"))?;
    let release = release.map(str::parse::<Fingerprint>).transpose()?;
    System::new("quarantine", DefaultRuntime).block_on(async move {
        let listed = list_quarantined(&OperatorPlatform, settings.store);
        let objects = listed.await.context("listing the quarantine")?;
        match release {
            None => {
                objects.iter().for_each(print);
                Ok(ExitCode::SUCCESS)
            }
            Some(fingerprint) => {
                let name = fingerprint.to_string();
                let Some(object) = objects.iter().find(|object| object.name == name) else {
                    bail!("the store keeps no request with the fingerprint {fingerprint}");
                };
                let deleted = delete_quarantined(&OperatorPlatform, settings.store, object);
                deleted.await.context("releasing")?;
                println!("released {fingerprint}");
                Ok(ExitCode::SUCCESS)
            }
        }
    })
}

fn print(object: &QuarantineObject) {
    match &object.content {
        Ok(ObjectContent::Quarantine(record)) => print_record(&object.name, record),
        Ok(_) => println!("{} is no record of a request", object.name),
        Err(error) => println!("{} can't be read: {error}", object.name),
    }
}

fn print_record(name: &str, record: &QuarantineRecord) {
    let replicas = record.replicas.iter();
    let replicas: Vec<String> = replicas.map(|digest| format!("{digest:016x}")).collect();
    println!(
        "{name} quarantined={} ended={} replica_digests={} trials={}",
        record.is_quarantined,
        replicas.len(),
        replicas.join(","),
        record.trials
    );
}
