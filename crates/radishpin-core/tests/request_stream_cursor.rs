//! Every stream event reaches the caller exactly once and in order.

use proptest::{prelude::*, test_runner::RngSeed};
use radishpin_core::request::{ChunkVerdict, StreamCursor};

#[derive(Clone, Copy, Debug)]
enum Action {
    Chunk { attempt: u32, offset: u64 },
    End { attempt: u32 },
    Resume { attempt: u32 },
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => (1..5_u32, 0..8_u64).prop_map(|(attempt, offset)| Action::Chunk { attempt, offset }),
        1 => (1..5_u32).prop_map(|attempt| Action::End { attempt }),
        1 => (1..5_u32).prop_map(|attempt| Action::Resume { attempt }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4819),
        failure_persistence: None,
        ..ProptestConfig::with_cases(2_000)
    })]

    #[test]
    fn events_are_forwarded_once_and_in_order(actions in prop::collection::vec(action(), 0..200)) {
        let mut cursor = StreamCursor::new(1);
        let mut current = 1;
        let mut forwarded = Vec::new();
        let mut ended = false;
        for action in actions {
            match action {
                Action::Chunk { attempt, offset } => match cursor.accept(attempt, offset) {
                    ChunkVerdict::Accept => {
                        prop_assert!(attempt == current && !ended);
                        forwarded.push(offset);
                    }
                    ChunkVerdict::Duplicate => prop_assert!(forwarded.contains(&offset)),
                    ChunkVerdict::Gap { expected } => {
                        prop_assert!(offset > expected);
                        prop_assert_eq!(expected, forwarded.len() as u64);
                    }
                    ChunkVerdict::Superseded => prop_assert_ne!(attempt, current),
                    ChunkVerdict::AfterEnd => prop_assert!(ended),
                },
                Action::End { attempt } => ended |= cursor.end(attempt),
                Action::Resume { attempt } => {
                    if let Some(offset) = cursor.resume(attempt) {
                        prop_assert!(attempt > current && !ended);
                        prop_assert_eq!(offset, forwarded.len() as u64);
                        current = attempt;
                    }
                }
            }
        }
        let all_events: Vec<u64> = (0..cursor.expected()).collect();
        prop_assert_eq!(forwarded, all_events);
    }
}

#[test]
fn late_tokens_of_a_superseded_attempt_are_dropped() {
    let mut cursor = StreamCursor::new(1);
    assert_eq!(cursor.accept(1, 0), ChunkVerdict::Accept);
    assert_eq!(cursor.resume(2), Some(1));
    assert_eq!(cursor.accept(1, 1), ChunkVerdict::Superseded);
    assert!(
        !cursor.end(1),
        "a superseded attempt must not end the stream"
    );
    assert_eq!(cursor.accept(2, 1), ChunkVerdict::Accept);
    assert!(cursor.end(2));
    assert_eq!(cursor.resume(3), None);
}
