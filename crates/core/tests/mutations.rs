//! Mutation tests of the promise checks: each check fails when the mechanism behind its promise is
//! disabled.

use reelreel_fakes::{
    FaultKind, FaultPlan, PlannedFault, Promise, SiteMutation, SiteScript, StepKind,
    check_promises, standard_site,
};

struct MutationCase {
    mutation: SiteMutation,
    /// The faults that exercise the disabled mechanism.
    faults: &'static [(FaultKind, StepKind, u64)],
    promise: Promise,
}

const CASES: &[MutationCase] = &[
    MutationCase {
        mutation: SiteMutation::WrongVersion,
        faults: &[],
        promise: Promise::NamedAdapter,
    },
    MutationCase {
        mutation: SiteMutation::IgnoreFence,
        faults: &[(FaultKind::PeersPartitionedBothWays, StepKind::PermitGrantArrives, 6)],
        promise: Promise::ServingAdapterNotUnloaded,
    },
    MutationCase {
        mutation: SiteMutation::AnswerFirstWaiting,
        faults: &[],
        promise: Promise::OwnCompleteAnswer,
    },
    MutationCase {
        mutation: SiteMutation::InterruptedMeansNotRun,
        faults: &[(FaultKind::EngineRestarted, StepKind::RequestRuns, 20)],
        promise: Promise::NotRunIsAccurate,
    },
    MutationCase {
        mutation: SiteMutation::InterruptedMeansNotRun,
        faults: &[(FaultKind::EngineRestarted, StepKind::RequestRuns, 20)],
        promise: Promise::AtMostOnce,
    },
    MutationCase {
        mutation: SiteMutation::OwnClaimsFirst,
        faults: &[],
        promise: Promise::AtMostOnce,
    },
    MutationCase {
        mutation: SiteMutation::HideLeaving,
        faults: &[],
        promise: Promise::NoNewRequestsWhenLeaving,
    },
    MutationCase {
        mutation: SiteMutation::ExitAtOnce,
        faults: &[],
        promise: Promise::GracefulStop,
    },
    MutationCase {
        mutation: SiteMutation::ShuffleSettings,
        faults: &[(FaultKind::OperatorsRace, StepKind::RequestRuns, 30)],
        promise: Promise::ConfigurationConverges,
    },
];

/// The seeds run for each case; which of them trigger the violation changes with the core.
const SEEDS: std::ops::Range<u64> = 0..48;

fn violates_promise(case: &MutationCase, mutation: Option<SiteMutation>, seed: u64) -> bool {
    let duration_ms = 6_000;
    let planned = |(fault, step, nth): &(FaultKind, StepKind, u64)| PlannedFault {
        fault: *fault,
        step: *step,
        nth: *nth,
        duration_ms,
    };
    let plan = FaultPlan::new(case.faults.iter().map(planned).collect());
    let script = SiteScript { mutation, ..SiteScript::new(seed) };
    let mut site = standard_site(script, plan);
    site.run_until(script.end);
    check_promises(&site).iter().any(|broken| broken.promise == case.promise)
}

#[test]
fn each_mutation_violates_its_promise_and_unmutated_runs_do_not() {
    for case in CASES {
        let violations =
            SEEDS.clone().filter(|seed| violates_promise(case, Some(case.mutation), *seed)).count();
        let clean_runs = SEEDS.clone().filter(|seed| !violates_promise(case, None, *seed)).count();
        println!(
            "{:?} violates {:?} in {violations} of {} runs",
            case.mutation, case.promise, SEEDS.end
        );
        assert!(
            violations > 0,
            "{:?} is not detected by the check of {:?}",
            case.mutation,
            case.promise
        );
        assert_eq!(
            clean_runs,
            SEEDS.clone().count(),
            "{:?} is violated without the mutation",
            case.promise
        );
    }
}
