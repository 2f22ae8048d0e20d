//! Permits.

use std::time::Duration;

use reelreel_core::{
    clock::{ClockMillis, duration_millis},
    message::{
        PermitAsk, PermitCheck, PermitDone, PermitGranted, PermitQueued, PermitRefusal,
        PermitRefused,
    },
    request::{PermitRequest, RefusalKind},
};

use super::{DecodeError, need, request_id, request_name};
use crate::peer::{self, RefusalReason};

pub(super) fn millis(duration: Duration) -> u64 {
    duration_millis(duration)
}

const fn permit_name(request: u128, attempt: u32) -> peer::PermitName {
    peer::PermitName { request: Some(request_name(request)), attempt }
}

/// Returns request and attempt of a permit's name.
fn read_name(name: Option<peer::PermitName>) -> Result<PermitQueued, DecodeError> {
    let name = need(name, "permit")?;
    let request = request_id(need(name.request, "request")?);
    Ok(PermitQueued { request, attempt: name.attempt })
}

impl From<PermitQueued> for peer::PermitName {
    fn from(PermitQueued { request, attempt }: PermitQueued) -> Self {
        permit_name(request, attempt)
    }
}

impl TryFrom<peer::PermitName> for PermitQueued {
    type Error = DecodeError;

    fn try_from(name: peer::PermitName) -> Result<Self, DecodeError> {
        read_name(Some(name))
    }
}

impl From<PermitAsk> for peer::PermitAsk {
    fn from(ask: PermitAsk) -> Self {
        let PermitAsk { engine, attempt, max_wait, request, may_load, replica } = ask;
        Self {
            permit: Some(permit_name(request.request, attempt)),
            engine,
            patience_millis: millis(max_wait),
            may_load,
            replica,
            service: request.service,
            organisation: request.organisation,
            adapter: Some(request.adapter.into()),
            worth: request.worth,
            share: request.share,
            queue_limit: request.queue_limit,
            stall_weight: request.stall_weight,
        }
    }
}

impl TryFrom<peer::PermitAsk> for PermitAsk {
    type Error = DecodeError;

    fn try_from(ask: peer::PermitAsk) -> Result<Self, DecodeError> {
        let PermitQueued { request, attempt } = read_name(ask.permit)?;
        let request = PermitRequest {
            request,
            service: ask.service,
            organisation: ask.organisation,
            adapter: need(ask.adapter, "adapter")?.into(),
            worth: ask.worth,
            share: ask.share,
            queue_limit: ask.queue_limit,
            stall_weight: ask.stall_weight,
            // The receiver puts the deadline on its own clock.
            deadline: ClockMillis::default(),
        };
        Ok(Self {
            engine: ask.engine,
            attempt,
            max_wait: Duration::from_millis(ask.patience_millis),
            request,
            may_load: ask.may_load,
            replica: ask.replica,
        })
    }
}

impl From<PermitGranted> for peer::PermitGranted {
    fn from(granted: PermitGranted) -> Self {
        let PermitGranted { request, attempt, engine, token, fill, stalled } = granted;
        Self { permit: Some(permit_name(request, attempt)), engine, token, fill, stalled }
    }
}

impl TryFrom<peer::PermitGranted> for PermitGranted {
    type Error = DecodeError;

    fn try_from(granted: peer::PermitGranted) -> Result<Self, DecodeError> {
        let PermitQueued { request, attempt } = read_name(granted.permit)?;
        let peer::PermitGranted { engine, token, fill, stalled, .. } = granted;
        Ok(Self { request, attempt, engine, token, fill, stalled })
    }
}

impl From<PermitRefused> for peer::PermitRefused {
    fn from(refused: PermitRefused) -> Self {
        let elsewhere = match refused.reason {
            PermitRefusal::Elsewhere(engine) => engine,
            _ => 0,
        };
        Self {
            permit: Some(permit_name(refused.request, refused.attempt)),
            engine: refused.engine,
            reason: reason(refused.reason).into(),
            elsewhere,
            retry_after_millis: refused.retry_after.map(millis),
        }
    }
}

const fn reason(refusal: PermitRefusal) -> RefusalReason {
    match refusal {
        PermitRefusal::NotOwner => RefusalReason::NotOwner,
        PermitRefusal::Leaving => RefusalReason::Leaving,
        PermitRefusal::Elsewhere(_) => RefusalReason::Elsewhere,
        PermitRefusal::NotResident => RefusalReason::NotResident,
        PermitRefusal::Final(RefusalKind::LoadTooLate) => RefusalReason::LoadTooLate,
        PermitRefusal::Final(RefusalKind::LoadFailed) => RefusalReason::LoadFailed,
        PermitRefusal::Final(RefusalKind::DeadlinePassed) => RefusalReason::DeadlinePassed,
        PermitRefusal::Final(_) => RefusalReason::Overloaded,
    }
}

impl TryFrom<peer::PermitRefused> for PermitRefused {
    type Error = DecodeError;

    fn try_from(refused: peer::PermitRefused) -> Result<Self, DecodeError> {
        let final_kind = PermitRefusal::Final;
        let reason = match refused.reason() {
            RefusalReason::NotOwner => PermitRefusal::NotOwner,
            RefusalReason::Leaving => PermitRefusal::Leaving,
            RefusalReason::Elsewhere => PermitRefusal::Elsewhere(refused.elsewhere),
            RefusalReason::NotResident => PermitRefusal::NotResident,
            RefusalReason::Overloaded => final_kind(RefusalKind::Overloaded),
            RefusalReason::LoadTooLate => final_kind(RefusalKind::LoadTooLate),
            RefusalReason::LoadFailed => final_kind(RefusalKind::LoadFailed),
            RefusalReason::DeadlinePassed => final_kind(RefusalKind::DeadlinePassed),
        };
        let retry_after = refused.retry_after_millis.map(Duration::from_millis);
        let PermitQueued { request, attempt } = read_name(refused.permit)?;
        Ok(Self { request, attempt, engine: refused.engine, reason, retry_after })
    }
}

impl From<PermitDone> for peer::PermitDone {
    fn from(PermitDone { request, attempt, engine, clean }: PermitDone) -> Self {
        Self { permit: Some(permit_name(request, attempt)), engine, clean }
    }
}

impl TryFrom<peer::PermitDone> for PermitDone {
    type Error = DecodeError;

    fn try_from(done: peer::PermitDone) -> Result<Self, DecodeError> {
        let PermitQueued { request, attempt } = read_name(done.permit)?;
        Ok(Self { request, attempt, engine: done.engine, clean: done.clean })
    }
}

impl From<PermitCheck> for peer::PermitCheck {
    fn from(PermitCheck { engine, permits }: PermitCheck) -> Self {
        Self { engine, permits: permits.into_iter().map(Into::into).collect() }
    }
}

impl TryFrom<peer::PermitCheck> for PermitCheck {
    type Error = DecodeError;

    fn try_from(check: peer::PermitCheck) -> Result<Self, DecodeError> {
        let permits = check.permits.into_iter().map(PermitQueued::try_from);
        Ok(Self { engine: check.engine, permits: permits.collect::<Result<_, _>>()? })
    }
}
