//! The script of the fault matrix without faults: all promises hold and most requests are answered.

use reelreel_core::CallerOutcome;
use reelreel_fakes::{FaultPlan, SiteScript, check_promises, standard_site};

#[test]
fn a_fault_free_run_answers_most_requests() {
    for seed in 1..=8 {
        let script = SiteScript::new(seed);
        let mut site = standard_site(script, FaultPlan::default());
        site.run_until(script.end);
        assert_eq!(check_promises(&site), Vec::new(), "seed {seed}");
        let answered = site
            .evidence
            .callers
            .values()
            .filter(|caller| matches!(caller.outcome, Some((CallerOutcome::Answered, _))))
            .count();
        let all = site.evidence.callers.len();
        assert!(answered * 10 >= all * 7, "seed {seed}: {answered} of {all} answered");
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let run_script = || {
        let script = SiteScript::new(11);
        let mut site = standard_site(script, FaultPlan::default());
        site.run_until(script.end);
        let outcomes: Vec<_> =
            site.evidence.callers.values().map(|caller| (caller.request, caller.outcome)).collect();
        (outcomes, site.evidence.step_counts, site.evidence.messages)
    };
    assert_eq!(run_script(), run_script());
}
