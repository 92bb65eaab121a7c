"""Decision on the next step of a rollout.

It answers this pattern of load: all requests of a service move to servers of
another version, under full traffic and by a deadline. The version gets few
requests while its answers are compared with those of the old one, then all of
them, and the rollout is complete once the runs at the old servers had time to
end. It is rolled back as soon as the version is judged to be bad, or at the
deadline if too few servers or answers speak for it.
"""

import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import exposure
from sesamefold.entry import rollout_records
from sesamefold.entry import version_evidence

# Time in which all hosts act on a message of the coordinator, seconds.
PROPAGATION_SECONDS = 0.4
# Share of the runs at old servers that should end before these stop, and the
# longest time that they get, seconds.
ENDED_RUNS_SHARE = 0.95
MAX_DRAIN_SECONDS = 5.0
# Least places of the new servers, as a share of those of the old ones, with
# which all requests may go to the new ones.
MIN_CAPACITY_SHARE = 0.6
# Fewest answers of the new version with which all requests may go to it. All
# following answers are judged too before the rollout is complete.
MIN_ANSWERS = 5


@attrs.frozen
class Outlook:
    """What the coordinator knows of a rollout at one instant.

    `slots` counts the places of the usable servers of the old version and
    `target_slots` those of the new one. `answers` counts the answers of the
    new version, `verdict` says why it is bad, None if it is not.
    `run_seconds` is the time in which most runs of the old version end, None
    if it is not known. `complete_at` is when the last step ends, None before
    it has begun.
    """

    limits: exposure.RolloutLimits
    order: catalogs.RolloutOrder
    ordered_at: float
    deadline: float
    traffic: exposure.Traffic
    answers: int
    verdict: t.Optional[version_evidence.Verdict]
    slots: int
    target_slots: int
    run_seconds: t.Optional[float]
    complete_at: t.Optional[float]
    now: float


@attrs.frozen
class Step:
    """The share of requests for the new version, and the rollout's state.

    `complete_at` is when the last step ends, None before it begins; `reason`
    says why a rollout is rolled back or does not go on.
    """

    share: float
    state: rollout_records.State
    complete_at: t.Optional[float] = None
    reason: str = ""


def decide_step(outlook: Outlook) -> Step:
    """Return the next step of a rollout."""
    running = rollout_records.State.RUNNING
    if outlook.verdict is not None:
        return _roll_back(outlook.verdict.describe())
    if outlook.complete_at is not None:
        if outlook.now >= outlook.complete_at:
            return Step(1.0, rollout_records.State.COMPLETED)
        return Step(1.0, running, outlook.complete_at)
    if not outlook.slots and outlook.target_slots:
        # Only servers of the target are left, or there never were others.
        return Step(1.0, rollout_records.State.COMPLETED)
    plan = exposure.plan_exposure(
        outlook.limits,
        outlook.traffic,
        outlook.ordered_at,
        outlook.deadline,
        PROPAGATION_SECONDS
        + min(MAX_DRAIN_SECONDS, outlook.run_seconds or 0.0),
        outlook.now,
    )
    obstacle = _find_obstacle(outlook)
    if outlook.now < plan.switch_at:
        share = plan.share if outlook.target_slots else 0.0
        return Step(share, running, reason=obstacle)
    if not obstacle:
        complete_at = max(
            outlook.deadline - exposure.COMPLETION_MARGIN_SECONDS,
            outlook.now + PROPAGATION_SECONDS,
        )
        return Step(1.0, running, complete_at)
    if outlook.now >= outlook.deadline:
        return _roll_back(obstacle)
    planned = outlook.limits.count_planned(outlook.traffic.requests)
    share = exposure.FIRST_SHARE if outlook.traffic.exposed < planned else 0.0
    return Step(share, running, reason=obstacle)


def _find_obstacle(outlook: Outlook) -> str:
    """Return why not all requests may go to the target, "" if they may."""
    if outlook.target_slots < MIN_CAPACITY_SHARE * outlook.slots:
        return (
            f"the servers of the target have {outlook.target_slots} places, "
            f"those of the old version {outlook.slots}"
        )
    if outlook.answers < MIN_ANSWERS and outlook.traffic.requests:
        return f"the target has given {outlook.answers} answers"
    return ""


def _roll_back(reason: str) -> Step:
    return Step(0.0, rollout_records.State.ROLLED_BACK, reason=reason)
