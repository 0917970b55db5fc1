//! `driftspring-gateway quarantine`: lists the store's records of requests that crashed replicas, and releases requests.

use std::path::Path;
use std::process::ExitCode;

use anyhow::{Context, anyhow, bail};
use driftspring_gateway::protocol::{ObjectContent, QuarantineRecord};
use driftspring_gateway::quarantine::Fingerprint;
use driftspring_gateway::store::{QuarantineObject, delete_quarantined, list_quarantined};
use driftspring_platform::OperatorPlatform;
use driftspring_settings::load_gateway;
use ntex::rt::{DefaultRuntime, System};

/// Lists all records, or releases the request with the fingerprint `release`.
pub(crate) fn run(file: &Path, release: Option<&str>) -> anyhow::Result<ExitCode> {
    let settings = load_gateway(file).map_err(|error| anyhow!("{error}"))?;
    let release = release.map(str::parse::<Fingerprint>).transpose()?;
    System::new("quarantine", DefaultRuntime).block_on(async move {
        let listing = list_quarantined(&OperatorPlatform, settings.store);
        let objects = listing.await.context("listing the quarantine records")?;
        match release {
            None => {
                for object in &objects {
                    print_object(object, &objects);
                }
                Ok(ExitCode::SUCCESS)
            }
            Some(fingerprint) => {
                let name = fingerprint.to_string();
                let Some(object) = objects.iter().find(|object| object.name == name) else {
                    bail!(
                        "the store has no record of a request with the fingerprint {fingerprint}"
                    );
                };
                let deletion = delete_quarantined(&OperatorPlatform, settings.store, object);
                deletion.await.context("deleting the quarantine record")?;
                println!("released {fingerprint}");
                Ok(ExitCode::SUCCESS)
            }
        }
    })
}

fn print_object(object: &QuarantineObject, all: &[QuarantineObject]) {
    match &object.content {
        Ok(ObjectContent::Quarantine(record)) => {
            print_record(
                &object.name,
                record,
                count_other_suspects(object, record, all),
            );
        }
        Ok(_) => println!("{} is not a quarantine record", object.name),
        Err(error) => println!("{} can't be parsed: {error}", object.name),
    }
}

/// The number of other quarantined requests that were open at any of the same crashes.
fn count_other_suspects(
    object: &QuarantineObject,
    record: &QuarantineRecord,
    all: &[QuarantineObject],
) -> usize {
    let is_other_suspect = |other: &QuarantineRecord| {
        let mut crashes = other.replicas.iter();
        other.is_quarantined && crashes.any(|crash| record.replicas.contains(crash))
    };
    let others = all.iter().filter(|other| other.name != object.name);
    others
        .filter(|other| matches!(&other.content, Ok(ObjectContent::Quarantine(other)) if is_other_suspect(other)))
        .count()
}

/// Why a request is held in quarantine or sent to replicas.
fn reason(record: &QuarantineRecord, other_suspects: usize) -> String {
    match (record.is_quarantined, other_suspects, record.apart_trials) {
        (false, ..) => "sent, once in each try: so few ends prove nothing".to_owned(),
        (true, _, trials) if trials > 0 => {
            format!("held: tried apart {trials} times without a whole answer")
        }
        (true, 0, _) => "held: no other request explains these ends".to_owned(),
        (true, other_suspects, _) => format!(
            "held until it is tried apart: {other_suspects} others in quarantine were open at some of these ends"
        ),
    }
}

fn print_record(name: &str, record: &QuarantineRecord, other_suspects: usize) {
    let replicas = record.replicas.iter();
    let replicas: Vec<String> = replicas.map(|digest| format!("{digest:016x}")).collect();
    println!(
        "{name} quarantined={} ended={} good_ends={} let_go={} replica_digests={} trials={} apart_trials={} why={:?}",
        record.is_quarantined,
        replicas.len(),
        record.good_ends,
        record.generation,
        replicas.join(","),
        record.trials,
        record.apart_trials,
        reason(record, other_suspects)
    );
}
