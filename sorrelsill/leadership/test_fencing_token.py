"""When a leader's fencing token is usable after promises."""

from sorrelsill.leadership.fencing_token import FencingToken


def test_token_requested_before_the_end_of_a_promise_may_be_exceeded() -> None:
    token = FencingToken()
    token.set(7, requested_at=10.0)
    assert token.current == 7 and not token.may_be_exceeded(promised_until=10.0)
    assert token.may_be_exceeded(promised_until=12.0)
    token.set(9, requested_at=12.0)
    assert token.current == 9 and not token.may_be_exceeded(promised_until=12.0)


def test_adopted_token_counts_as_exceeded_until_the_next_write() -> None:
    token = FencingToken()
    token.set(7, requested_at=10.0)
    token.adopt(8)
    assert token.current == 8 and token.may_be_exceeded(promised_until=11.0)


def test_highest_token_is_remembered_after_the_term() -> None:
    token = FencingToken()
    token.set(7, requested_at=10.0)
    token.discard()
    assert token.current is None and token.highest == 7
