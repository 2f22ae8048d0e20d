//! Answers to orders that an engine sends once more, in the place of the answer to the next order.

use reelreel_core::placement::{OrderAnswer, OrderKind};

struct DuplicateAnswerCase {
    /// The answer to an order, of which the next one could get a duplicate.
    answer: OrderAnswer,
    /// Whether a load and an unload may follow on the same connection.
    may_precede: (bool, bool),
}

const CASES: &[DuplicateAnswerCase] = &[
    DuplicateAnswerCase { answer: OrderAnswer::Accepted, may_precede: (true, true) },
    // An unload in progress must not count as done.
    DuplicateAnswerCase { answer: OrderAnswer::Done, may_precede: (true, false) },
    DuplicateAnswerCase { answer: OrderAnswer::Conflict, may_precede: (false, false) },
    DuplicateAnswerCase { answer: OrderAnswer::Fenced, may_precede: (false, false) },
    DuplicateAnswerCase { answer: OrderAnswer::OtherEngine, may_precede: (false, false) },
    DuplicateAnswerCase { answer: OrderAnswer::Rejected, may_precede: (false, false) },
    DuplicateAnswerCase { answer: OrderAnswer::Unknown, may_precede: (false, false) },
];

/// Guards against an engine that is ordered to load more than it can hold, and against placers that
/// give up their lease or an engine because of an answer to an earlier order.
#[test]
fn an_order_does_not_follow_an_answer_whose_duplicate_would_do_harm() {
    for case in CASES {
        let load = OrderKind::Load { from_store: true };
        let may_precede =
            (case.answer.may_precede(load), case.answer.may_precede(OrderKind::Unload));
        assert_eq!(may_precede, case.may_precede, "{:?}", case.answer);
    }
}
