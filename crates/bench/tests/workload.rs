//! Properties of the drawn traces.

use std::time::Duration;

use driftspring_bench::workload::{Trace, Workload};
use quickcheck::quickcheck;

const LENGTH: Duration = Duration::from_secs(20);

quickcheck! {
    fn the_same_seed_gives_the_same_trace_in_order(seed: u64) -> bool {
        Workload::all().iter().all(|workload| {
            let trace = Trace::draw(workload, LENGTH, seed);
            let is_ordered = trace.requests.is_sorted_by_key(|request| request.at);
            is_ordered && trace == Trace::draw(workload, LENGTH, seed)
        })
    }
}

#[test]
fn rates_and_nesting_are_as_described() {
    let workload = Workload::directorate();
    let trace = Trace::draw(&workload, LENGTH, 1);
    let service = workload.services[0];
    let verdicts: Vec<_> = trace
        .requests
        .iter()
        .filter(|request| request.model.as_str() == service.model)
        .collect();
    let expected = service.requests_per_second * LENGTH.as_secs_f64();
    let ratio = verdicts.len() as f64 / expected;
    assert!((0.8..1.2).contains(&ratio), "{ratio}");
    for one in &verdicts[..50] {
        for other in &verdicts[..50] {
            let segments = one.prompt.segments.iter().zip(&other.prompt.segments);
            let shared = segments.clone().take_while(|(a, b)| a == b).count();
            let equal = segments.filter(|(a, b)| a == b).count();
            assert_eq!(shared, equal, "a level is shared only below a shared one");
        }
    }
    let bytes: usize = service.levels.iter().map(|level| level.bytes).sum();
    assert_eq!(verdicts[0].prompt.text().len(), bytes + service.note_bytes);
}
