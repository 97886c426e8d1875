"""Merging of the results of batch parts into one answer."""

from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlehub.batching.result_merger import BatchAnswer, BatchOutcome, MergeVerdict, ResultMerger

REJECTED = BatchAnswer(BatchOutcome.REJECTED, 0.4)
ABORTED = BatchAnswer(BatchOutcome.ABORTED)


@settings(max_examples=300)
@given(st.integers(1, 12), st.booleans(), st.data())
def test_a_batch_has_one_answer_with_results_in_order_and_of_one_model_version(
    item_count: int, is_stream: bool, data: st.DataObject
) -> None:
    """Parts of any size end in any order and with any outcome; those after the answer do not change it."""
    merger = ResultMerger(item_count, is_stream, "m1")
    parts: dict[int, list[int]] = {}
    first_index = 0
    while first_index < item_count:
        size = data.draw(st.integers(1, item_count - first_index))
        parts[len(parts)] = list(range(first_index, first_index + size))
        first_index += size
    for part, indices in parts.items():
        merger.begin_part(part, indices)
    answers = []
    has_failed = False
    for part in data.draw(st.permutations(sorted(parts))):
        outcome = data.draw(st.sampled_from(["generated"] * 3 + ["other version", "rejected", "aborted"]))
        if outcome in ("generated", "other version"):
            next_action = merger.part_generated(
                part, [f"v{index}" for index in parts[part]], "m1" if outcome == "generated" else "m2"
            )
            if next_action == MergeVerdict.RETRY_PART:
                merger.begin_part(part + 100, parts[part])
                next_action = merger.part_generated(part + 100, [f"v{index}" for index in parts[part]], "m1")
        else:
            next_action = merger.part_failed(part, REJECTED if outcome == "rejected" else ABORTED)
            has_failed = True
        if next_action == MergeVerdict.ANSWERED and merger.answer is not None:
            answers.append(merger.answer)
    assert len(set(answers)) == 1
    if merger.answer.outcome == BatchOutcome.GENERATED:
        assert merger.results == [f"v{index}" for index in range(item_count)] and not has_failed
    else:
        assert has_failed


def test_failed_parts_determine_the_answer() -> None:
    merger = ResultMerger(3, False)
    for part in range(3):
        merger.begin_part(part, [part])
    assert (
        merger.part_generated(0, ["a"], "m") == MergeVerdict.WAIT_FOR_PARTS
        and merger.part_failed(1, REJECTED) == MergeVerdict.ANSWERED
    )
    assert merger.answer == REJECTED
    stream = ResultMerger(3, True)
    for part in range(3):
        stream.begin_part(part, [part])
    assert stream.part_failed(0, REJECTED) == MergeVerdict.WAIT_FOR_PARTS
    assert (
        stream.part_failed(1, BatchAnswer(BatchOutcome.ABORTED, 0.0, "died")) == MergeVerdict.WAIT_FOR_PARTS
    )
    assert (
        stream.part_generated(2, ["c"], "m") == MergeVerdict.ANSWERED
        and stream.answer.outcome == BatchOutcome.ABORTED
    )
    restarted = ResultMerger(2, False, "m1")
    restarted.begin_part(0, [0, 1])
    assert (
        restarted.part_generated(0, ["a", "b"], "m2") == MergeVerdict.RETRY_PART and restarted.may_restart()
    )
    restarted.restart("m2")
    restarted.begin_part(1, [0, 1])
    assert (
        not restarted.may_restart() and restarted.part_generated(1, ["a", "b"], "m2") == MergeVerdict.ANSWERED
    )
    assert restarted.model == "m2" and restarted.answer.outcome == BatchOutcome.GENERATED
