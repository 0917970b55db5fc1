//! The exchange of fair shares between gateways, with messages passed by hand and a clock set by the test.

use std::collections::VecDeque;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::configuration::{Quota, QuotaUnit, Tenant};
use driftspring_gateway::peers::message::{Message, WireGroupUsage, WireTotals, WireUsage};
use driftspring_gateway::shares::service::Load;
use driftspring_gateway::shares::{FairShares, Standing};
use musli::{Decode, Encode};

const GROUP: &str = "group";
const SERVICE: &str = "llm";
const STEP: Duration = Duration::from_millis(10);
const UPDATE_EVERY: u32 = 10;
/// What the service runs in a step, of all gateways.
const RUN_PER_STEP: usize = 8;

fn tenant(name: &str, quota: Option<f64>) -> Tenant {
    Tenant {
        name: name.to_owned(),
        priority: None,
        is_isolated: false,
        quota: quota.map(|per_second| Quota {
            unit: QuotaUnit::Requests,
            per_second,
            burst: per_second,
        }),
    }
}

fn shares(tenants: &[Tenant], began: Instant) -> FairShares {
    let shares = FairShares::new(true, began);
    shares.set_group(GROUP);
    shares.set_tenants(tenants.iter());
    shares
}

fn load(_: &str) -> Load {
    Load {
        queued_for: Duration::ZERO,
        objective: Some(Duration::from_millis(500)),
    }
}

fn group_usage(totals: Vec<WireTotals>, sent_ms: u64) -> WireGroupUsage {
    WireGroupUsage {
        group: GROUP.to_owned(),
        incarnation: 1,
        totals: Vec::new(),
        leader: 1,
        sent_ms: Some(sent_ms),
        shares: totals,
    }
}

/// Two gateways in a group of which the first leads: each step, `asked` gives the requests of a tenant at a gateway, and
/// the service runs them in the order of their arrival. Returns what is refused, by tenant, in the last second.
fn play(
    tenants: &[Tenant],
    steps: u32,
    asked: impl Fn(usize, usize) -> u64,
    mut tamper: impl FnMut(&mut Vec<WireTotals>),
) -> Vec<f64> {
    let began = Instant::now();
    let gateways = [shares(tenants, began), shares(tenants, began)];
    let mut queue = VecDeque::new();
    let (mut all, mut refused) = (vec![0; tenants.len()], vec![0; tenants.len()]);
    for step in 1..=steps {
        let now = began + STEP * step;
        for (number, gateway) in gateways.iter().enumerate() {
            for (index, tenant) in tenants.iter().enumerate() {
                for request in 0..asked(number, index) {
                    let draw = f64::from((step * 7 + request as u32 * 3) % 10) / 10.0 + 0.05;
                    let decision = gateway.ask(SERVICE, &tenant.name, 1, draw, now);
                    let counts = step + 100 > steps;
                    all[index] += usize::from(counts);
                    refused[index] += usize::from(counts && decision.is_err());
                    if decision.is_ok() {
                        queue.push_back((number, index, now));
                    }
                }
            }
            if step % UPDATE_EVERY == 0 {
                gateway.update(now, load, |_, _| {});
            }
        }
        for _ in 0..RUN_PER_STEP {
            if let Some((number, index, at)) = queue.pop_front() {
                let wait = now.duration_since(at);
                gateways[number].record_run(SERVICE, &tenants[index].name, 1, wait, now);
            }
        }
        if step % UPDATE_EVERY == 0 {
            let sent_ms = u64::from(step) * 10;
            for (number, gateway) in gateways.iter().enumerate() {
                if gateway.is_exchanging(now) {
                    let mut totals = gateway.own_usage(now);
                    tamper(&mut totals);
                    let usage = WireUsage {
                        daemon: number as u64 + 1,
                        incarnation: number as u64 + 1,
                        totals: Vec::new(),
                        sent_ms: Some(sent_ms),
                        shares: totals,
                    };
                    gateways[0].record_member_usage(&usage, now);
                }
            }
            let usage = group_usage(gateways[0].group_usage(now), sent_ms);
            gateways
                .iter()
                .for_each(|gateway| gateway.record_group_usage(&usage, now));
        }
    }
    let share = |(refused, all): (&usize, &usize)| *refused as f64 / (*all).max(1) as f64;
    refused.iter().zip(&all).map(share).collect()
}

/// The light tenant's requests arrive at one gateway only, the heavy one's at both.
#[test]
fn the_heavy_tenant_is_refused_and_the_light_one_is_not() {
    let tenants = [tenant("light", None), tenant("heavy", None)];
    let asked = |gateway: usize, tenant: usize| match (gateway, tenant) {
        (0, 0) => 1,
        (_, 1) => 10,
        _ => 0,
    };
    let refused = play(&tenants, 400, asked, |_| {});
    assert_eq!(refused[0], 0.0);
    assert!(refused[1] > 0.3, "{refused:?}");
}

/// A tenant with a larger quota gets more, if every tenant has one.
#[test]
fn quotas_are_weights() {
    let tenants = [tenant("large", Some(900.0)), tenant("small", Some(100.0))];
    let refused = play(&tenants, 400, |_, _| 5, |_| {});
    assert!(refused[0] < refused[1], "{refused:?}");
    let tenants = [tenant("large", Some(900.0)), tenant("none", None)];
    let refused = play(&tenants, 400, |_, _| 5, |_| {});
    assert!((refused[0] - refused[1]).abs() < 0.1, "{refused:?}");
}

/// Totals that can't be true must neither overflow nor starve anybody.
#[test]
fn nonsense_in_reports_is_skipped() {
    let tenants = [tenant("light", None), tenant("heavy", None)];
    let asked = |_: usize, tenant: usize| if tenant == 0 { 1 } else { 10 };
    for absurd in [u64::MAX, 1 << 55] {
        let refused = play(&tenants, 400, asked, |totals| {
            for totals in totals.iter_mut() {
                totals.asked = absurd;
            }
        });
        println!("{absurd}: {refused:?}");
        assert!(refused[0] < 1.0 && refused[1] < 1.0, "{refused:?}");
    }
}

#[test]
fn one_tenant_or_a_switched_off_setting_changes_nothing() {
    let began = Instant::now();
    let alone = shares(&[tenant("only", None)], began);
    let off = FairShares::new(false, began);
    off.set_tenants([tenant("a", None), tenant("b", None)].iter());
    for shares in [alone, off] {
        assert!(!shares.is_active());
        let standing = shares.ask(SERVICE, "only", 1, 0.99, began);
        assert_eq!(standing, Ok(Standing::Unregulated));
        assert!(shares.own_usage(began).is_empty());
    }
}

/// The smallest gateway has 88 MB: what it tracks and sends must not grow with the number of tenants.
#[test]
fn of_10_000_tenants_the_largest_are_tracked_and_reported() {
    let tenants: Vec<Tenant> = (0..10_000)
        .map(|number| tenant(&format!("tenant-{number}"), None))
        .collect();
    let began = Instant::now();
    let shares = shares(&tenants, began);
    for (number, tenant) in tenants.iter().enumerate() {
        let now = began + Duration::from_micros(number as u64 * 100);
        let work = if number == 9_999 { 100_000 } else { 1 };
        let _ = shares.ask(SERVICE, &tenant.name, work, 0.5, now);
        if number % 1000 == 0 {
            shares.update(now, load, |_, _| {});
        }
    }
    let now = began + Duration::from_secs(1);
    shares.update(now, load, |_, _| {});
    let reported = shares.own_usage(now);
    assert!(reported.len() <= 98, "{}", reported.len());
    let largest = reported.iter().map(|totals| totals.asked).max();
    assert!(largest >= Some(100_000), "{largest:?}");
}

#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct EarlierGroupUsage {
    group: String,
    incarnation: u64,
    totals: Vec<WireTotals>,
    #[musli(default)]
    leader: u64,
    #[musli(default)]
    sent_ms: Option<u64>,
}

fn totals(number: u64) -> WireTotals {
    WireTotals {
        tenant: u64::MAX - number,
        asked: u64::MAX - 1,
        admitted: u64::MAX - 2,
        asked_before: u64::MAX - 3,
        admitted_before: u64::MAX - 4,
    }
}

#[test]
fn the_previous_build_reads_reports_with_shares_and_is_read() {
    let usage = group_usage(vec![totals(0)], 5);
    let bytes = musli::wire::to_vec(&usage).expect("encodes");
    let read: EarlierGroupUsage = musli::wire::decode(&bytes[..]).expect("decodes");
    assert_eq!(
        (read.leader, read.sent_ms, read.totals.len()),
        (1, Some(5), 0)
    );
    let bytes = musli::wire::to_vec(&read).expect("encodes");
    let read: WireGroupUsage = musli::wire::decode(&bytes[..]).expect("decodes");
    assert_eq!((read.group.as_str(), read.shares.len()), (GROUP, 0));
}

#[test]
fn a_full_report_fits_a_datagram() {
    let usage = group_usage((0..18).map(totals).collect(), u64::MAX);
    let bytes = Message::GroupUsage(usage).encode().expect("encodes");
    assert!(bytes.len() < 1200, "{}", bytes.len());
}
