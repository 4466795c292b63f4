"""Reports in the ledger: which machines may be given work."""

from sorrelsill.fleet import Catalog, Flavour
from sorrelsill.workers import Host, Ledger, Report

KIND = Flavour("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a",))


def ledger_of_one() -> tuple[Ledger, Host]:
    ledger = Ledger(7, 0.0, Catalog({"c8": KIND}), 11.5, 2.7)
    for serial, epoch in ((1, 0), (2, 7)):
        report(ledger, serial, float(serial), epoch=epoch)
    host = ledger.hosts["m1"]
    host.rostered = True
    return ledger, host


def report(ledger: Ledger, serial: int, now: float, tenure: int = 1, epoch: int = 7) -> object:
    return ledger.on_report(Report("m1", tenure, serial, "c8", "a", "10.0.0.9:9000", False, epoch), now)


def test_a_report_out_of_step_does_not_make_a_machine_stand_aside() -> None:
    """Found on a measured day: at each crossing of a report with a direct answer it got no work for an interval."""
    ledger, host = ledger_of_one()
    assert host.usable()
    report(ledger, 9, 3.0)
    assert host.usable()


def test_a_machine_that_never_follows_on_our_answers_stands_aside() -> None:
    ledger, host = ledger_of_one()
    for turn in range(1, 4):  # it goes from one controller to the next, and comes by again
        report(ledger, 2 + 3 * turn, 2.0 + 5.0 * turn)
    assert not host.usable()
    report(ledger, 12, 18.0)
    assert host.usable()


def test_a_new_session_gets_work_once_it_has_shown_that_it_hears() -> None:
    """Our token may be known to it from the session before, so showing that proves nothing."""
    ledger, host = ledger_of_one()
    report(ledger, 3, 14.0, tenure=2)
    assert not host.usable()
    report(ledger, 4, 15.0, tenure=2)
    assert host.usable()


def test_reports_of_a_roster_machine_that_shows_no_token_are_answered_only_for_a_while() -> None:
    ledger = Ledger(7, 0.0, Catalog({"c8": KIND}), 11.5, 2.7)
    ledger.expect([("m1", {"f": "c8", "a": "10.0.0.9:9000"})])
    assert report(ledger, 1, 1.0, epoch=3) is not None
    assert report(ledger, 4, 5.0, epoch=3) is not None
    assert report(ledger, 7, 9.0, epoch=3) is None
    assert not ledger.sweep(15.0) and ledger.unheard
    assert [h.name for h in ledger.sweep(17.0)] == ["m1"] and not ledger.unheard


def answer(ledger: Ledger, serial: int, now: float, tenure: int = 1) -> None:
    """Of a direct call."""
    ledger.on_answer(Report("m1", tenure, serial, "c8", "a", "10.0.0.9:9000", False, 7), now)


def greeted() -> tuple[Ledger, Host]:
    """A machine of the roster that a new leader reached directly and that has not reported yet."""
    ledger = Ledger(7, 0.0, Catalog({"c8": KIND}), 11.5, 2.7, overdue_s=2.25)
    ledger.expect([("m1", {"f": "c8", "a": "10.0.0.9:9000"})])
    answer(ledger, 1, 1.0)
    return ledger, ledger.hosts["m1"]


def test_a_session_that_was_only_heard_of_directly_has_a_whole_lease_of_its_own() -> None:
    """Found on a day of our own (ran_twice): a machine that reached nobody was given work directly in its second
    session, and taken for lost a lease after the first answer, which came out of its first."""
    ledger, host = greeted()
    answer(ledger, 9, 8.0, tenure=2)
    assert not ledger.sweep(13.0) and not host.lost
    assert ledger.sweep(20.0) == [host]


def test_a_machine_that_answers_but_does_not_report_gets_no_work() -> None:
    ledger, host = greeted()
    ledger.sweep(3.0)
    assert host.usable(), "after a takeover it may still be on its way here"
    answer(ledger, 2, 7.0)
    ledger.sweep(7.5)
    assert not host.usable()
    report(ledger, 3, 8.0)
    ledger.sweep(8.1)
    assert host.usable()


def test_a_machine_whose_lease_ran_out_while_it_answered_gets_no_work() -> None:
    ledger, host = greeted()
    answer(ledger, 2, 3.0, tenure=2)
    ledger.sweep(3.1)
    assert not host.usable()
    report(ledger, 3, 4.0, tenure=2)
    report(ledger, 4, 5.0, tenure=2)
    host.rostered = True
    ledger.sweep(5.1)
    assert host.usable()
