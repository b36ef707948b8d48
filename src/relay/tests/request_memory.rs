//! Memory for open requests beside what else fills the process.

use std::sync::Arc;

use crate::relay::request_memory::{RequestMemory, Reservation};

const MEMORY: usize = 96 << 20;

/// Takes requests without bodies until one is refused.
fn fill(memory: &Arc<RequestMemory>) -> Vec<Reservation> {
    let requests = std::iter::repeat_with(|| {
        let mut request = memory.reserve();
        request.resize(0).then_some(request)
    });
    requests.map_while(|request| request).collect()
}

/// Guards against an instance that takes requests until it is killed for its memory, which idle
/// connections and fragments fill as well.
#[test]
fn requests_are_refused_while_the_process_fills_its_memory() {
    let memory = RequestMemory::new(Some(MEMORY));
    let idle = fill(&memory).len();

    memory.observe(MEMORY / 10 * 7);
    let beside_others = fill(&memory).len();

    assert!(beside_others < idle / 2, "{beside_others} of {idle}");
    assert!(beside_others * 150 * 1024 < MEMORY / 10 * 2);
}

#[test]
fn some_requests_are_taken_though_freed_memory_stays_with_the_process() {
    let memory = RequestMemory::new(Some(MEMORY));

    memory.observe(MEMORY / 10 * 9);

    assert!(fill(&memory).len() > 50);
}

#[test]
fn requests_that_have_ended_make_place_before_the_next_look_at_the_process() {
    let memory = RequestMemory::new(Some(MEMORY));
    let open = fill(&memory);
    memory.observe(MEMORY / 10 * 9);
    assert!(fill(&memory).is_empty());

    drop(open);

    assert!(!fill(&memory).is_empty());
}

#[test]
fn memory_without_a_limit_takes_all() {
    let memory = RequestMemory::new(None);

    memory.observe(usize::MAX);

    assert!(memory.reserve().resize(1 << 30));
}
