"""The rule checker on records that are written by hand."""

import pytest

from myrtlehub.lab.rule_checker.checker import RuleChecker, check_records
from myrtlehub.lab.rule_checker.findings import Breach
from myrtlehub.lab.rule_checker.stored_records import InvalidRecordError
from myrtlehub.records import Record


def breaches_of(records: list[Record]) -> list[Breach]:
    return check_records(records).breaches


# -- takeovers ------------------------------------------------------------------------------------

TERMS = Record(
    0.0,
    "day",
    "terms",
    {
        "traffic": [{"name": "post", "repeats": "once-only"}],
        "let_go": 0.5,
        "engines": [("w1", 0, "z"), ("w2", 0, "z")],
    },
)
ATTEMPT = {"seq": "n1.r.0", "mark": "m", "traffic": "post", "reads": False, "work": 0.1}
GOOD_TAKEOVER = [
    TERMS,
    Record(
        1.0,
        "client",
        "ask",
        {"call": "m.0", "node": "n1", "traffic": "post", "mark": "m", "left": 5.0, "whole": 20.0},
    ),
    Record(1.0, "client", "seq", {"call": "m.0", "seq": "n1.r.0"}),
    Record(1.1, "w1", "got", {**ATTEMPT, "attempt": 0, "node": "n1"}),
    Record(1.2, "w1", "ran", {**ATTEMPT, "attempt": 0}),
    Record(1.3, "client", "token", {"call": "m.0"}),
    Record(2.0, "day", "killed", {"who": "n1"}),
    Record(2.0, "client", "over", {"call": "m.0", "code": "UNAVAILABLE", "unprocessed": False}),
    Record(
        2.1,
        "client",
        "ask",
        {"call": "m.1", "node": "n2", "traffic": "post", "mark": "m", "left": 19.0, "whole": 19.0},
    ),
    Record(2.1, "client", "goes on", {"call": "m.1", "after": "m.0", "tokens": 4}),
    Record(2.1, "client", "seq", {"call": "m.1", "seq": "n1.r.0"}),
    Record(2.2, "w1", "claimed", {"seq": "n1.r.0", "granted": True, "close": False}),
    Record(3.0, "w1", "ended", {"seq": "n1.r.0", "attempt": 0, "tokens": 9, "sum": 77}),
    Record(
        3.1,
        "client",
        "final",
        {"call": "m.1", "answer": "generated", "tokens": 5, "ids": 9, "sum": 77, "seq": "n1.r.0"},
    ),
    Record(3.1, "client", "over", {"call": "m.1", "code": "OK", "unprocessed": False}),
]
SECOND_WRITE = [
    Record(2.3, "w2", "got", {**ATTEMPT, "attempt": 1, "node": "n2"}),
    Record(2.4, "w2", "ran", {**ATTEMPT, "attempt": 1}),
]
WRONG_TAKEOVERS = {
    "what runs is sent to another engine": (
        [*GOOD_TAKEOVER[:12], *SECOND_WRITE, *GOOD_TAKEOVER[12:]],
        2,
        "sent to w2",
    ),
    "a token is missing": (
        [
            *GOOD_TAKEOVER[:13],
            Record(3.1, "client", "final", {**GOOD_TAKEOVER[13].more, "ids": 8, "sum": 76}),
            *GOOD_TAKEOVER[14:],
        ],
        1,
        "are not those that a writer made",
    ),
    "an answer after an answer": (
        [
            *GOOD_TAKEOVER[:6],
            Record(1.9, "client", "final", {"call": "m.0", "answer": "aborted", "tokens": 4}),
            *GOOD_TAKEOVER[6:],
        ],
        1,
        "came back though m.0 was aborted",
    ),
    "its client does not resume it": (
        GOOD_TAKEOVER[:6] + GOOD_TAKEOVER[7:8],
        1,
        "its client did not come back",
    ),
}


def test_a_good_takeover_is_no_breach() -> None:
    assert not breaches_of(GOOD_TAKEOVER)


def test_a_write_that_a_claim_proves_not_run_may_be_sent_again() -> None:
    records = [
        *[record for record in GOOD_TAKEOVER if record.what != "ran"][:11],
        Record(2.15, "w1", "stopped", {"seq": "n1.r.0", "attempt": 0, "why": "UNAVAILABLE", "ran": False}),
        GOOD_TAKEOVER[11],
        *SECOND_WRITE,
    ]
    assert not [breach for breach in breaches_of(records) if breach.rule == 2]


@pytest.mark.parametrize("name", WRONG_TAKEOVERS)
def test_a_wrong_takeover_is_a_breach(name: str) -> None:
    records, rule, text = WRONG_TAKEOVERS[name]
    breaches = breaches_of(records)
    assert [breach for breach in breaches if breach.rule == rule and text in breach.text], breaches


# -- records --------------------------------------------------------------------------------------


def test_a_record_without_a_field_of_its_kind_is_an_error() -> None:
    with pytest.raises(InvalidRecordError, match=r"record 'ask' of client at 1.500 s: .*`node`"):
        RuleChecker().check(Record(1.5, "client", "ask", {"call": "m.0"}))
