//! Randomized simulation of a whole rollout under faults: concurrent writers, leader changes of the lease store, replaced lease holders,
//! lossy and corrupting links, server crashes, corrupted and full disks, and partitions between two regions.
//!
//! Each schedule checks that a server activates one content per version number, atomically and in increasing order; that acknowledged
//! versions are active; that the byte budget holds; that bad versions reach canaries only; that accepted versions are durable; and that all
//! servers converge within 6 s after the last fault. Planted bugs verify that the schedules detect violations.

mod control;
mod counts;
mod faults;
mod lease_store;
mod network;
mod server;
mod world;

use counts::Counts;
use world::{Bug, World};

/// Number of schedules. Their seeds are `0..SCHEDULES`.
const SCHEDULES: u64 = 1500;

/// Runs `run_seed` for each seed on several threads and returns the results in seed order.
fn in_parallel<T: Send>(seeds: u64, run_seed: impl Fn(u64) -> T + Sync) -> Vec<T> {
    const THREADS: u64 = 4;
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let run_seed = &run_seed;
        let part = |index| {
            scope.spawn(move || {
                (index..seeds)
                    .step_by(THREADS as usize)
                    .map(|seed| (seed, run_seed(seed)))
                    .collect::<Vec<_>>()
            })
        };
        let parts: Vec<_> = (0..THREADS).map(part).collect();
        parts.into_iter().flat_map(|part| part.join().expect("no panic")).collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}

#[test]
fn servers_converge_on_one_content_per_version_after_faults() {
    // `SEED=27` runs a single schedule.
    let single_seed = std::env::var("SEED").ok().and_then(|seed| seed.parse::<u64>().ok());
    if let Some(seed) = single_seed {
        let mut world = World::new(seed, Bug::None);
        let outcome = world.run();
        return println!("seed {seed}: {outcome:?}, {:#?}", world.counts);
    }
    let results = in_parallel(SCHEDULES, |seed| {
        let mut world = World::new(seed, Bug::None);
        match world.run() {
            Ok(()) => (None, world.counts),
            Err(violation) => (Some(format!("seed {seed}: {violation}")), world.counts),
        }
    });
    let failed: Vec<&String> = results.iter().filter_map(|(failed, _)| failed.as_ref()).collect();
    assert!(failed.is_empty(), "{} of {SCHEDULES}: {failed:#?}", failed.len());
    let counts = results.iter().fold(Counts::default(), |sum, (_, counts)| sum.merge(counts));
    println!("{SCHEDULES} schedules: {counts:#?}");
    // The schedules must exercise each of these cases.
    let exercised = [
        counts.missed,
        counts.stale_epochs,
        counts.no_quorum,
        counts.reverted,
        counts.whole_contents,
        counts.wrong_digests,
        counts.undecodable,
    ];
    assert!(exercised.iter().all(|count| *count > SCHEDULES / 20), "{counts:?}");
    let exercised = [
        counts.conflicts,
        counts.last_good,
        counts.base_settings,
        counts.everywhere,
        counts.kills,
        counts.wide_steps,
    ];
    assert!(exercised.iter().all(|count| *count > SCHEDULES / 20), "{counts:?}");
}

#[test]
fn servers_converge_after_long_partitions_between_regions() {
    const LONG_SCHEDULES: u64 = 60;
    let results = in_parallel(LONG_SCHEDULES, |seed| {
        let mut world = World::new(10_000 + seed, Bug::None);
        (world.faults_end, world.max_partition_time) = (240.0, 200.0);
        world.put_interval *= 4.0;
        world.run().map(|()| world.counts).map_err(|violation| format!("seed {}: {violation}", 10_000 + seed))
    });
    let failed: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    assert!(failed.is_empty(), "{} of {LONG_SCHEDULES}: {failed:#?}", failed.len());
    let counts = results.iter().flatten().fold(Counts::default(), Counts::merge);
    println!("{LONG_SCHEDULES} schedules of 240 s: {counts:#?}");
    assert!(counts.oldest > 120.0 && counts.no_quorum > 0 && counts.wide_steps > 0, "{counts:?}");
}

#[test]
fn schedules_detect_each_planted_bug() {
    let bugs = [
        Bug::Unchecked,
        Bug::Downgrade,
        Bug::EarlyAck,
        Bug::HalfChange,
        Bug::StaleEpoch,
        Bug::NoByteBudget,
        Bug::NoCanary,
        Bug::EarlyAnswer,
        Bug::NoAge,
    ];
    for bug in bugs {
        let detected = (0..400).find_map(|seed| Some((seed, World::new(seed, bug).run().err()?)));
        let (seed, violation) = detected.unwrap_or_else(|| panic!("{bug:?} is not detected"));
        println!("{bug:?}: seed {seed}: {violation}");
    }
}
