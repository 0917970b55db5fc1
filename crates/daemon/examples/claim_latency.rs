//! Prints how long a claim takes with five holders on loopback, one at a time and 64 at once.
//! `cargo run --release -p driftspring --example claim_latency`

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, ensure};
use driftspring::claims::ClaimClient;
use driftspring::{Daemon, RunningDaemon};
use driftspring_claims::{ClaimKey, ClaimRefusal, UnixMillis};
use driftspring_settings::Settings;
use driftspring_types::{ClaimGroup, ClaimGroupMember, DaemonId, FencingToken};
use futures_util::future::join_all;
use ntex::rt::{DefaultRuntime, System};
use ntex::time::sleep;

const HOLDERS: usize = 5;
const ROUNDS: usize = 4000;
const AT_ONCE: usize = 64;
const START_PATIENCE: Duration = Duration::from_secs(10);

fn main() -> anyhow::Result<()> {
    let daemons = start_holders()?;
    System::new("claim-latency", DefaultRuntime).block_on(async move {
        let client = ClaimClient::new(&daemons[0].state).await?;
        wait_until_granted(&client, &daemons[0]).await?;
        for at_once in [1, AT_ONCE] {
            measure(&client, &daemons[0], at_once).await?;
        }
        Ok(())
    })
}

/// Five daemons that know each other and hold claims for each other.
fn start_holders() -> anyhow::Result<Vec<RunningDaemon>> {
    let mut daemons: Vec<RunningDaemon> = Vec::new();
    for number in 0..HOLDERS {
        let id = DaemonId::new(format!("daemon-{number}"));
        let mut settings = Settings::loopback(id, "zone-1".into());
        settings.claims.clock_skew_bound = Duration::from_millis(50);
        let running = daemons.iter();
        settings.seeds = running.map(|daemon| daemon.addresses().peers).collect();
        daemons.push(Daemon::start(settings)?);
    }
    let members = daemons.iter().map(|daemon| ClaimGroupMember {
        daemon: daemon.state.settings.id.clone(),
        incarnation: daemon.state.incarnation,
    });
    let group = Arc::new(ClaimGroup {
        epoch: 1,
        holders: members.collect(),
        fencing_token: FencingToken(1),
    });
    let deadline = Instant::now() + START_PATIENCE;
    while daemons[0].state.members.load().len() < HOLDERS {
        ensure!(Instant::now() < deadline, "the daemons do not meet");
        std::thread::yield_now();
    }
    for daemon in &daemons {
        let mut config = (*daemon.state.config.load_full()).clone();
        config.claim_group = Some(Arc::clone(&group));
        daemon.state.config.store(Arc::new(config));
    }
    Ok(daemons)
}

async fn claim(
    client: &ClaimClient,
    daemon: &RunningDaemon,
    key: u64,
) -> Result<Duration, ClaimRefusal> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let issued_at = UnixMillis(since_epoch.as_millis() as u64);
    let began = Instant::now();
    let key = ClaimKey::from_hash(key.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    client.claim(&daemon.state, key, issued_at).await?;
    Ok(began.elapsed())
}

async fn wait_until_granted(client: &ClaimClient, daemon: &RunningDaemon) -> anyhow::Result<()> {
    let deadline = Instant::now() + START_PATIENCE;
    let mut key = u64::MAX;
    while let Err(refusal) = claim(client, daemon, key).await {
        ensure!(Instant::now() < deadline, "no claim is granted: {refusal}");
        key -= 1;
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

async fn measure(
    client: &ClaimClient,
    daemon: &RunningDaemon,
    at_once: usize,
) -> anyhow::Result<()> {
    let mut times = Vec::with_capacity(ROUNDS);
    let began = Instant::now();
    for round in 0..ROUNDS / at_once {
        let first = (at_once * 1_000_000 + round * at_once) as u64;
        let keys = first + 1..first + 1 + at_once as u64;
        let claims = join_all(keys.map(|key| claim(client, daemon, key))).await;
        for time in claims {
            times.push(time?);
        }
    }
    let rate = times.len() as f64 / began.elapsed().as_secs_f64();
    times.sort_unstable();
    let at = |percent: usize| times.get(times.len() * percent / 100).context("no claims");
    println!(
        "{at_once} at once, {HOLDERS} holders, {} claims: p50 {:?}, p99 {:?}, {rate:.0} claims/s",
        times.len(),
        at(50)?,
        at(99)?,
    );
    Ok(())
}
