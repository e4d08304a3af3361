//! Bodies that are held arrive as they were sent, however they were split, and are held no longer than needed.

use http_body::Body;
use http_body_util::BodyExt;
use proptest::prelude::*;
use quillcove::duty::run_async;
use quillcove::web::held::BodyCollector;
use quillcove_core::memory::{CallerBudget, MB_BYTES, MachineLimits, MemoryAccount};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(93),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_body_is_sent_as_it_was_received(
        pieces in proptest::collection::vec(
            prop_oneof![0..20usize, 0..20_000usize, 60_000..140_000usize],
            0..20,
        ),
        is_announced: bool,
    ) {
        let machine = MachineLimits { memory_bytes: 100 * MB_BYTES, descriptors: 1000 };
        let account = MemoryAccount::new(CallerBudget::of(machine));
        let length: usize = pieces.iter().sum();
        let body: Vec<u8> = (0..length).map(|index| (index * 31 / 7) as u8).collect();
        let announced = is_announced.then_some(length);
        let mut collector = BodyCollector::new(&account, announced).unwrap();
        let mut rest = &body[..];
        for count in pieces {
            let (mut piece, after) = rest.split_at(count);
            collector.push(&mut piece).unwrap();
            rest = after;
        }
        // What is held is at most the length, the unused part of a segment, and a first buffer.
        prop_assert!(account.total() >= length);
        prop_assert!(account.total() <= length + (64 << 10) + (8 << 10));
        let held = collector.finish();
        let segments = [held.first_segment()].into_iter().chain(held.other_segments());
        prop_assert_eq!(segments.collect::<Vec<_>>().concat(), &body[..]);
        let (first, second) = (held.to_send(), held.to_send());
        prop_assert_eq!(first.size_hint().exact(), Some(length as u64));
        drop(held);
        let first = run_async(1, first.collect()).unwrap().to_bytes();
        prop_assert_eq!(&first[..], &body[..]);
        prop_assert!(account.total() >= length, "the second copy is still held");
        let second = run_async(1, second.collect()).unwrap().to_bytes();
        prop_assert_eq!(&second[..], &body[..]);
        drop((first, second));
        prop_assert_eq!(account.total(), 0);
    }
}

#[test]
fn a_body_for_which_no_memory_is_left_is_given_back() {
    let machine = MachineLimits { memory_bytes: 17 * MB_BYTES, descriptors: 1000 };
    let account = MemoryAccount::new(CallerBudget::of(machine));
    let mut collector = BodyCollector::new(&account, Some(4 << 20)).unwrap();
    assert!(account.total() <= 8 << 10, "what is only announced is not held");
    let data = vec![1; 4 << 20];
    let mut rest = &data[..];
    assert!(collector.push(&mut rest).is_err());
    assert_eq!(collector.len() + rest.len(), data.len());
    drop(collector);
    assert_eq!(account.total(), 0);
}
