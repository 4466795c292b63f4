"""`/promise` messages: the byte form stays, and what is missing or damaged proves nothing."""

import orjson
import pytest

from sorrelsill.peers.messages import PromiseAnswer, PromiseRequest


def test_the_byte_form_has_the_names_of_the_wire() -> None:
    assert PromiseRequest(True, {"back": 2.5}).to_body() == b'{"promise":true,"back":2.5}'
    answer = PromiseAnswer(promised=False, failing=True, known={"back": 1.0})
    assert answer.to_body() == b'{"promised":false,"failing":true,"known":{"back":1.0}}'
    assert PromiseAnswer.from_body(answer.to_body()) == answer


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"3", b"null", b"\xff"])
def test_a_body_that_is_no_map_asks_and_proves_nothing(body: bytes) -> None:
    assert PromiseRequest.from_body(body) == PromiseRequest(False, {})
    assert PromiseAnswer.from_body(body) is None


def test_an_answer_of_the_former_version_has_no_known_field() -> None:
    former = PromiseAnswer.from_body(orjson.dumps({"promised": True}))
    assert former == PromiseAnswer(promised=True, failing=False, known=None, has_known=False)
    present = PromiseAnswer.from_body(orjson.dumps({"promised": True, "known": None}))
    assert present is not None and present.has_known
