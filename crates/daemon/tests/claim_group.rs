//! The holder of the control lease keeps the group of claim holders.

mod configuration_support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use configuration_support::{Cluster, Hearing, eventually, within};
use driftspring_settings::MechanismSettings;
use driftspring_standin::ports::{first_given_out, own_ip};
use driftspring_types::ClaimGroup;

/// A daemon's death is noticed, and a group replaced, within this time.
const REPLACEMENT_DEADLINE: Duration = Duration::from_secs(30);

async fn started() -> Cluster {
    let mut cluster = Cluster::new(3, 2, MechanismSettings::default(), Hearing::Gossip);
    cluster.start_all();
    assert!(eventually(|| cluster.all_met()).await, "not all met");
    cluster
}

fn group(cluster: &Cluster, index: usize) -> Option<Arc<ClaimGroup>> {
    cluster.state(index).config.load().claim_group.clone()
}

fn holders(group: &ClaimGroup) -> BTreeSet<&str> {
    group
        .holders
        .iter()
        .map(|holder| holder.daemon.as_str())
        .collect()
}

async fn group_of_epoch(cluster: &Cluster, index: usize, epoch: u64) -> Arc<ClaimGroup> {
    let has_epoch = || group(cluster, index).is_some_and(|group| group.epoch == epoch);
    assert!(
        within(REPLACEMENT_DEADLINE, has_epoch).await,
        "{:?}",
        group(cluster, index)
    );
    group(cluster, index).expect("a group")
}

#[ntex::test]
async fn the_first_group_is_written_and_a_dead_holder_replaced() {
    let mut cluster = started().await;
    let first = group_of_epoch(&cluster, 5, 1).await;
    assert_eq!(first.holders.len(), 5);
    let outside: Vec<usize> = (0..cluster.len())
        .filter(|index| !holders(&first).contains(format!("d{index}").as_str()))
        .collect();
    let killed = (outside[0] + 1) % cluster.len();
    cluster.kill(killed);
    let second = group_of_epoch(&cluster, outside[0], 2).await;
    assert!(!holders(&second).contains(format!("d{killed}").as_str()));
    assert!(second.fencing_token >= first.fencing_token);
}

#[ntex::test]
async fn a_group_whose_holders_all_restarted_is_replaced() {
    let mut cluster = started().await;
    group_of_epoch(&cluster, 0, 1).await;
    for index in 0..cluster.len() {
        cluster.kill(index);
    }
    cluster.start_all();
    let second = group_of_epoch(&cluster, 0, 2).await;
    for holder in &second.holders {
        let index: usize = holder.daemon.as_str()[1..].parse().expect("index");
        assert_eq!(holder.incarnation, cluster.state(index).incarnation);
    }
}

/// Clusters whose daemons have the same names become one where a daemon of the one starts at an address of the other.
#[ntex::test]
async fn a_daemon_that_starts_beside_another_cluster_takes_none_of_its_addresses() {
    let mut cluster = Cluster::new(1, 2, MechanismSettings::default(), Hearing::Gossip);
    let mut used = BTreeSet::new();
    for _ in 0..3 {
        cluster.start_all();
        for index in 0..cluster.len() {
            let address = cluster.state(index).addresses.peers;
            assert_eq!(
                address.ip(),
                own_ip(1),
                "another process may take {address}"
            );
            assert!(
                address.port() < first_given_out(),
                "any socket may take {address}"
            );
            assert!(used.insert(address), "{address} was used before");
            cluster.kill(index);
        }
    }
}
