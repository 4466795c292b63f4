"""Encoding and decoding of the `/promise` messages, including missing and invalid fields."""

import orjson
import pytest

from sorrelsill.peers.messages import PromiseAnswer, PromiseRequest


def test_encoded_messages_have_the_wire_names() -> None:
    assert PromiseRequest(True, {"back": 2.5}).to_body() == b'{"promise":true,"back":2.5}'
    answer = PromiseAnswer(promised=False, failing=True, known={"back": 1.0}, revision=41)
    assert answer.to_body() == b'{"promised":false,"failing":true,"known":{"back":1.0},"revision":41}'
    assert PromiseAnswer.from_body(answer.to_body()) == answer


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"3", b"null", b"\xff"])
def test_body_that_is_not_a_map_is_an_empty_request_and_no_answer(body: bytes) -> None:
    assert PromiseRequest.from_body(body) == PromiseRequest(False, {})
    assert PromiseAnswer.from_body(body) is None


def test_answer_of_previous_version_has_no_known_field() -> None:
    former = PromiseAnswer.from_body(orjson.dumps({"promised": True}))
    assert former == PromiseAnswer(promised=True, failing=False, known=None, revision=None, has_known=False)
    present = PromiseAnswer.from_body(orjson.dumps({"promised": True, "known": None}))
    assert present is not None and present.has_known


@pytest.mark.parametrize("revision", [-1, True, 4.0, "4", None, [4]])
def test_invalid_revision_counts_as_unknown(revision: object) -> None:
    answer = PromiseAnswer.from_body(orjson.dumps({"promised": True, "known": None, "revision": revision}))
    assert answer is not None and answer.revision is None
