use super::*;

#[test]
fn a_process_that_works_is_seen_to_and_one_that_is_gone_is_a_fault() {
    let before = Usage::of(std::process::id()).unwrap();
    let mut sum = 0u64;
    while Usage::of(std::process::id()).unwrap().cpu_since(&before) < 0.05 {
        for one in 0..1_000_000u64 {
            sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(one));
        }
    }
    let after = Usage::of(std::process::id()).unwrap();
    assert!(after.memory > 1e5 && after.descriptors >= 3.0, "{after:?}");
    let held: Vec<std::fs::File> = (0..7).map(|_| std::fs::File::open("/proc/self/stat").unwrap()).collect();
    assert!(
        Usage::of(std::process::id()).unwrap().descriptors
            >= after.descriptors - 1.0 + held.len() as f64 - 4.0
    );
    // No process has this number: the kernel gives none above four millions.
    assert!(Usage::of(4_999_999).is_err());
}

#[test]
fn threads_that_ended_are_counted_by_the_coarser_figure() {
    let usage = |threads: &[(u64, u64)], cpu| Usage {
        threads: threads.iter().copied().collect(),
        cpu,
        ..Usage::default()
    };
    let before = usage(&[(1, 1_000_000_000), (2, 500_000_000)], 1.5);
    // Both lived on: to the ns.
    assert_eq!(usage(&[(1, 1_004_000_000), (2, 501_000_000)], 1.5).cpu_since(&before), 0.005);
    // The second used 0.4 s more and ended.
    assert_eq!(usage(&[(1, 1_004_000_000)], 1.9).cpu_since(&before), 1.9 - 1.5);
    // A new one begins from nothing.
    assert_eq!(
        usage(&[(1, 1_000_000_000), (2, 500_000_000), (3, 7_000_000)], 1.51).cpu_since(&before),
        0.007
    );
}

#[test]
fn what_the_kernel_does_not_tell_is_absent_and_no_zero() {
    let mut taken = crate::Taken::of("server", 1.0);
    Usage::default().tell(&Usage::default(), &mut taken);
    assert!(!taken.measures.contains_key("disk") && taken.measures.contains_key("cpu"));
}
