//! The whole path through separate processes: two engines, an object store, two daemons.

mod common;

use common::{DAEMONS, ENGINES, call, check_settings, processes, two_daemons};
use driftspring_history::Ending;
use driftspring_system_tests::run;

#[test]
fn a_stream_arrives_whole_and_a_killed_engine_does_not_stop_the_next_request() -> anyhow::Result<()>
{
    run(async {
        let mut system = two_daemons(processes(), &[]).await?;
        let caller = system.caller("caller").await?;
        for sheet in 1..4 {
            for daemon in DAEMONS {
                let result = system.call(&caller, daemon, &call(sheet)).await?;
                assert_eq!((result.ending, result.tokens), (Ending::Whole, 16));
            }
        }
        system.kill_engine(ENGINES[0]).await?;
        for sheet in 4..8 {
            for daemon in DAEMONS {
                let result = system.call(&caller, daemon, &call(sheet)).await?;
                assert_eq!((result.ending, result.tokens), (Ending::Whole, 16));
            }
        }
        system.finish().await?.expect_kept(&check_settings())
    })
}
