//! The gate lets each event of an answer through once and in order, whatever comes.

use driftspring::pipeline::{SequenceGate, SequenceStep};
use driftspring_external::engine::AnswerChunk;
use driftspring_types::RequestId;
use ntex::util::Bytes;
use quickcheck::quickcheck;
use uuid::Uuid;

const OWN: RequestId = RequestId(Uuid::from_u128(1));
const OTHER: RequestId = RequestId(Uuid::from_u128(2));

fn chunk(request_id: Option<RequestId>, sequence: u64) -> AnswerChunk {
    AnswerChunk {
        raw: Bytes::new(),
        request_id,
        sequence,
        text: String::new(),
        finish: None,
    }
}

quickcheck! {
    /// Each arrival is a sequence number and whose it is: 0 another's, 1 nobody's, else the own.
    fn what_passes_is_gapless_and_the_own(arrivals: Vec<(u8, u8)>) -> bool {
        let mut gate = SequenceGate::new(OWN, true);
        let mut passed = Vec::new();
        for (sequence, owner) in arrivals {
            let sequence = u64::from(sequence % 8);
            let request_id = [Some(OTHER), None].get(usize::from(owner % 6)).copied();
            let request_id = request_id.unwrap_or(Some(OWN));
            let next = gate.next();
            let expected = match (request_id == Some(OWN), sequence.cmp(&next)) {
                (false, _) => SequenceStep::Foreign,
                (true, std::cmp::Ordering::Less) => SequenceStep::Repeated,
                (true, std::cmp::Ordering::Equal) => SequenceStep::Next,
                (true, std::cmp::Ordering::Greater) => SequenceStep::Gap,
            };
            let step = gate.step(&chunk(request_id, sequence));
            if step != expected {
                return false;
            }
            if step == SequenceStep::Next {
                passed.push(sequence);
            }
        }
        passed.iter().copied().eq(0..gate.next())
    }
}
