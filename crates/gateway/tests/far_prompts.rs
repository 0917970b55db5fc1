//! Which prompts a relay collects for other groups, and when its task wakes.

use std::time::Duration;

use driftspring_gateway::peers::message::WirePrompt;
use driftspring_gateway::peers::prompt_relay::PromptRelay;

/// Longer than the delay of a batch.
const SEVERAL_BATCHES: Duration = Duration::from_millis(300);

fn prompt(tokens: u64) -> WirePrompt {
    WirePrompt {
        replica: "replica".to_owned(),
        born: None,
        tokens,
        prefixes: Vec::new(),
        sender: 0,
        output_tokens: 0,
        pause_target_ms: 0,
        whole_tokens: 0,
    }
}

async fn has_batch(relay: &PromptRelay) -> bool {
    let batch = tokio::time::timeout(SEVERAL_BATCHES, relay.next_batch());
    batch.await.is_ok()
}

#[ntex::test]
async fn a_daemon_that_is_not_a_relay_gathers_nothing_and_does_not_wake() {
    let relay = PromptRelay::default();
    relay.gather(&prompt(5000));
    assert!(!has_batch(&relay).await);
    relay.set_relay(true);
    assert!(!has_batch(&relay).await, "nothing was gathered");
    relay.gather(&prompt(5000));
    relay.set_relay(false);
    relay.gather(&prompt(6000));
    assert_eq!(relay.next_batch().await.outgoing, [prompt(5000)]);
}

#[ntex::test]
async fn a_relay_sends_prompts_gathered_during_the_delay_in_one_batch() {
    let relay = PromptRelay::default();
    relay.set_relay(true);
    relay.gather(&prompt(1));
    assert!(!has_batch(&relay).await, "short prompts are not sent");
    let later = async {
        relay.gather(&prompt(5000));
        tokio::task::yield_now().await;
        relay.gather(&prompt(6000));
        relay.forward_to_group(&[prompt(7)]);
    };
    let (batch, ()) = futures_util::join!(relay.next_batch(), later);
    assert_eq!(batch.outgoing, [prompt(5000), prompt(6000)]);
    assert_eq!(batch.incoming, [prompt(7)]);
}

#[ntex::test]
async fn prompts_of_other_groups_are_forwarded_by_any_daemon() {
    let relay = PromptRelay::default();
    relay.forward_to_group(&[prompt(7)]);
    let batch = relay.next_batch().await;
    assert_eq!(batch.incoming, [prompt(7)]);
    assert!(batch.outgoing.is_empty());
    assert!(!has_batch(&relay).await, "nothing is left");
}

fn short_stream() -> WirePrompt {
    WirePrompt {
        output_tokens: 42,
        pause_target_ms: 300,
        ..prompt(100)
    }
}

#[ntex::test]
async fn short_streams_with_a_pause_target_are_sent_to_other_groups() {
    // Other groups would place long prompts beside streams of which they are not told.
    let relay = PromptRelay::default();
    relay.set_relay(true);
    relay.gather(&short_stream());
    assert_eq!(relay.next_batch().await.outgoing, [short_stream()]);
}

#[ntex::test]
async fn many_short_streams_leave_room_for_long_prompts() {
    let relay = PromptRelay::default();
    relay.set_relay(true);
    for _ in 0..10_000 {
        relay.gather(&short_stream());
        relay.forward_to_group(&[short_stream()]);
    }
    relay.gather(&prompt(5000));
    relay.forward_to_group(&[prompt(5000)]);
    let batch = relay.next_batch().await;
    for prompts in [&batch.outgoing, &batch.incoming] {
        assert!(prompts.len() < 200, "{} in one batch", prompts.len());
        assert_eq!(prompts.last(), Some(&prompt(5000)));
    }
}
