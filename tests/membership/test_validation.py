"""List versions and their validation: what is accepted, deferred, rejected and damped."""

import pytest
from endpointlists import make_endpoint, make_endpoints, make_validator
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.list_version import compare_versions, make_version
from myrtlehub.membership.validation import Accepted, Deferred, Rejected, Unchanged

NO_WRITER = "no engine that serves can write"


def test_difference_lists_all_changes_between_two_versions() -> None:
    before = make_version(1, make_endpoints("r1 w1 w2 w3"), "t", 0.0)
    listed = [
        make_endpoint("r1"),
        make_endpoint("w1", state="draining"),
        make_endpoint("w2", weight=0.0),
        make_endpoint("w4", cell=2),
    ]
    after = make_version(2, listed, "t", 1.0)
    difference = compare_versions(before.endpoints, after.endpoints)
    assert [endpoint.address for endpoint in difference.added] == ["w4:1"]
    assert [endpoint.address for endpoint in difference.removed] == ["w3:1"]
    assert [endpoint.address for endpoint in difference.draining] == ["w1:1"]
    changed = [(endpoint.address, endpoint.state, fields) for endpoint, fields in difference.changed]
    assert changed == [("w2:1", "draining", ("weight", "state"))]


def test_reordering_endpoints_makes_no_difference() -> None:
    before = make_version(1, make_endpoints("r1 w1 w2 w3"), "t", 0.0)
    reordered = make_version(9, reversed(make_endpoints("r1 w1 w2 w3")), "t", 5.0)
    assert not compare_versions(before.endpoints, reordered.endpoints)
    digests = {
        make_version(1, make_endpoints("r1 w1"), "t", 0.0).digest,
        make_version(7, make_endpoints("w1 r1"), "u", 9.0).digest,
    }
    assert len(digests) == 1


@pytest.mark.parametrize(
    ("listed", "reason"),
    [
        (make_endpoints("r1"), NO_WRITER),
        (make_endpoints("w1"), "no engine that serves can read"),
        (make_endpoints("r1 w1 w1"), "w1:1 is listed twice, with the same figures"),
        (
            [*make_endpoints("r1 w1"), make_endpoint("w1", weight=2.0)],
            "w1:1 is listed twice, with different figures",
        ),
        ([*make_endpoints("r1 w1"), make_endpoint("r2", cell=3)], "cell 3 has readers and no writer"),
        (
            [*make_endpoints("r1 w1"), make_endpoint("w2", kind="mixer")],
            "kind 'mixer' is not among kinds: reader, writer",
        ),
        ([*make_endpoints("r1 w1"), make_endpoint("w2", zone="y")], "zone 'y' is not among zones: z"),
        (make_endpoints("r1 w1", state="draining"), NO_WRITER),
        ([], NO_WRITER),
        (make_endpoints("r1 w1", weight=0.0), NO_WRITER),
    ],
)
def test_lists_with_faults_are_rejected_and_the_current_version_stays(
    listed: list[EndpointConfig], reason: str
) -> None:
    validator = make_validator()
    assert isinstance(validator.validate(0.0, make_endpoints("r1 w1 w2"), "t"), Accepted)
    verdict = validator.validate(1.0, listed, "t")
    assert isinstance(verdict, Rejected) and reason in verdict.reason
    assert validator.version.number == 1 and len(validator.version.endpoints) == 3
    assert reason in validator.rejections[-1].reason
    validator.validate(2.0, listed, "t")
    assert len(validator.rejections) == 1  # recorded once, not for each snapshot


def test_large_removal_waits_for_a_second_snapshot() -> None:
    many = make_endpoints("r1 w1 w2 w3 w4 w5")
    few = make_endpoints("r1 w1")
    validator = make_validator(max_removed=0.5, confirm_after=2.0)
    validator.validate(0.0, many, "t")
    verdict = validator.validate(1.0, few, "t")
    assert isinstance(verdict, Deferred) and "67%" in verdict.reason
    assert verdict.recheck_at == 3.0
    assert isinstance(validator.validate(2.0, few, "t"), Deferred)
    assert isinstance(validator.validate(2.5, many, "t"), Unchanged)
    second_verdict = validator.validate(2.6, few, "t")
    # The removal was reverted in between, so the confirmation time starts again.
    assert second_verdict.recheck_at == pytest.approx(4.6)
    accepted = validator.validate(4.6, few, "t")
    assert isinstance(accepted, Accepted)
    assert len(accepted.difference.removed) == 4 and accepted.version.number == 2


def test_large_removal_of_unresponsive_endpoints_is_accepted() -> None:
    validator = make_validator(max_removed=0.5)
    validator.validate(0.0, make_endpoints("r1 w1 w2 w3 w4 w5"), "t")
    verdict = validator.validate(1.0, make_endpoints("r1 w1"), "t", unresponsive=frozenset({"w4:1", "w5:1"}))
    assert isinstance(verdict, Accepted)


def test_confirmation_of_removals_can_be_disabled() -> None:
    validator = make_validator(max_removed=1.0)  # the setting "any"
    validator.validate(0.0, make_endpoints("r1 w1 w2 w3 w4 w5"), "t")
    assert isinstance(validator.validate(0.1, make_endpoints("r1 w1"), "t"), Accepted)


def test_draining_counts_as_removal() -> None:
    validator = make_validator(max_removed=0.5)
    validator.validate(0.0, make_endpoints("r1 w1 w2 w3 w4 w5"), "t")
    drained = [*make_endpoints("r1 w1"), *make_endpoints("w2 w3 w4 w5", state="draining")]
    assert isinstance(validator.validate(1.0, drained, "t"), Deferred)


def test_flapping_endpoint_is_damped() -> None:
    validator = make_validator(max_flaps=3, flap_window=30.0, flap_quiet_time=10.0)
    states = []
    recheck_times = []
    for second in range(12):
        names = "r1 w1 w2" if second % 2 else "r1 w1 w2 w3"
        verdict = validator.validate(float(second), make_endpoints(names), "t")
        recheck_times.append(verdict.recheck_at)
        endpoints = validator.version.endpoints
        states.append(endpoints["w3:1"].state if "w3:1" in endpoints else "-")
    assert states[:3] == ["serving", "-", "serving"] and set(states[5:]) <= {"draining", "-"}
    assert recheck_times[10] == 13.0  # 10 s after the last accepted change
    undamped = validator.validate(40.0, make_endpoints("r1 w1 w2 w3"), "t")
    assert isinstance(undamped, Accepted | Unchanged)
    assert validator.version.endpoints["w3:1"].state == "serving"


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.sampled_from(["r1 w1", "r1 w1 w2", "r1 r2 w1 w2 w3", "r1 w9", "", "r1", "w1", "lost"]), max_size=12
    )
)
def test_listener_always_has_the_last_valid_list(snapshots: list[str]) -> None:
    validator = make_validator(max_removed=1.0, max_flaps=99)
    followed: dict[str, EndpointConfig] = {}
    last_valid: list[EndpointConfig] = []
    for second, names in enumerate(snapshots):
        if names == "lost":
            verdict = validator.reject_lost_source(float(second), "t", "gone")
        else:
            verdict = validator.validate(float(second), make_endpoints(names), "t")
        if isinstance(verdict, Accepted):
            complete = verdict.version.endpoints.values()
            for endpoint in verdict.difference.updates() if verdict.difference else complete:
                followed.pop(endpoint.address, None)
                if endpoint.state != "gone":
                    followed[endpoint.address] = endpoint
        if names not in ("", "r1", "w1", "lost"):
            last_valid = make_endpoints(names)
    assert followed == {endpoint.address: endpoint for endpoint in last_valid}
