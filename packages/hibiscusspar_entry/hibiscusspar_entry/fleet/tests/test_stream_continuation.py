"""Tests of the continuation of streams at the software that began them."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.stream_origins import StreamOrigin
from hibiscusspar.fleet.waiting import Refuse
from hibiscusspar_entry.fleet.refusal import RefusedError
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.software_versions import SoftwareVersions
from hibiscusspar_entry.fleet.stream_continuation import StreamContinuation
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    SchedulerTestCase,
    target,
)


class Origins:
    """Origins of one node, without others."""

    def __init__(self):
        self.rows = {}

    def find(self, request_id):
        return self.rows.get(request_id)

    def announce(self, request_id, origin):
        self.rows[request_id] = origin


class TestStreamContinuation(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.origins = Origins()
        self.streams = StreamContinuation(self.origins, self.scheduler, 0.3)
        self.v1 = target("t1")._replace(software="v1")
        self.v2 = target("t2")._replace(software="v2")
        self.targets(self.v1, self.v2)

    def call(self, request_id="r1", resumes="", service="draft"):
        call = SimpleNamespace(request_id=request_id, resumes=resumes)
        route = SimpleNamespace(resumable=True)
        return SimpleNamespace(call=call, route=route, service=service)

    def resume(self, resumes, **options):
        state = RequestState()
        self.streams.find_origin(self.call("r2", resumes, **options), state)
        return state

    def refusal(self, resumes, **options):
        with self.assertRaises(RefusedError) as caught:
            self.resume(resumes, **options)
        return caught.exception

    def test_origin_is_found_by_the_request_that_began_the_stream(self):
        self.streams.record_origin(self.call(), RequestState(), self.v2)
        self.assertEqual(self.resume("r1").origin, StreamOrigin("draft", "v2"))

    def test_stream_taken_up_twice_keeps_its_origin(self):
        self.streams.record_origin(self.call(), RequestState(), self.v1)
        state = self.resume("r1")
        self.streams.record_origin(self.call("r2", "r1"), state, self.v1)
        self.assertEqual(self.origins.rows, {"r1": StreamOrigin("draft", "v1")})

    def test_unknown_origin_may_be_known_elsewhere(self):
        self.assertEqual(self.refusal("r9").retry_after_s, 0.3)

    def test_unknown_origin_is_that_of_the_only_version(self):
        self.clock.now += 100.0
        self.targets(self.v1)
        self.clock.now += 100.0
        self.assertIsNone(self.resume("r9").origin)

    def test_unknown_origin_is_refused_while_earlier_versions_may_be_unknown(self):
        """Guards against a started process that knows the versions of now only."""
        software = SoftwareVersions(self.clock, self.clock())
        self.scheduler.software = software
        self.targets(self.v1)
        self.assertEqual(self.refusal("r9").retry_after_s, 0.3)
        software.restore({"draft": ["v1"]})
        self.assertIsNone(self.resume("r9").origin)
        software.restore({"draft": ["v0"]})
        self.assertEqual(self.refusal("r9").retry_after_s, 0.3)

    def test_unknown_origin_is_refused_while_the_directory_is_old(self):
        """Guards against a node that never saw the version which began a stream."""
        self.clock.now += 100.0
        self.targets(self.v1)
        self.clock.now += 100.0
        self.scheduler.software.is_current = lambda: False
        self.assertEqual(self.refusal("r9").retry_after_s, 0.3)
        self.scheduler.software.is_current = lambda: True
        self.assertIsNone(self.resume("r9").origin)

    def test_version_that_left_lately_may_have_begun_the_stream(self):
        self.targets(self.v1)
        self.clock.now += 5.0
        self.assertEqual(self.refusal("r9").retry_after_s, 0.3)

    def test_stream_of_a_version_that_left_is_refused_at_once(self):
        self.origins.announce("r1", StreamOrigin("draft", "v2"))
        self.targets(self.v1, self.v2._replace(draining=True))
        self.assertIsNone(self.refusal("r1").retry_after_s)

    def test_stream_of_an_evacuated_service_may_be_tried_later(self):
        self.origins.announce("r1", StreamOrigin("draft", "v2"))
        self.targets(self.v1, self.v2._replace(draining=True))
        self.scheduler.refusal = lambda service: Refuse("evacuated", 1.5)
        self.assertEqual(self.refusal("r1").retry_after_s, 1.5)

    def test_stream_of_another_service_is_refused(self):
        self.origins.announce("r1", StreamOrigin("draft", "v1"))
        self.assertIsNone(self.refusal("r1", service="other").retry_after_s)

    def test_stream_of_a_target_that_restarted_is_not_continued(self):
        self.targets(self.v1._replace(born=2, software="v2"), self.v2)
        state = RequestState()
        self.streams.record_origin(self.call(), state, self.v1)
        self.assertEqual(self.origins.rows, {})
        self.assertFalse(self.streams.can_continue(state))

    def test_target_at_which_the_stream_broke_does_not_continue_it(self):
        state = RequestState()
        self.streams.record_origin(self.call(), state, self.v1)
        self.assertTrue(self.streams.can_continue(state))
        state.broken_at = frozenset({"t1"})
        self.assertFalse(self.streams.can_continue(state))


class TestChoice(SchedulerTestCase):
    def test_job_runs_at_its_software_only(self):
        rows = [
            target(f"t{n}", ["a1"])._replace(software=version)
            for n, version in enumerate(("v1", "v2", "v2"))
        ]
        self.targets(*rows)
        for version, names in (("v1", {"t0"}), ("v2", {"t1", "t2"})):
            job = self.job()._replace(software=version)
            placements = [self.scheduler.submit(job).placement for _ in range(4)]
            self.assertEqual({p.target.target_id for p in placements}, names)

    def test_adapter_is_wanted_at_the_software_of_the_stream(self):
        self.targets(
            target("t0")._replace(software="v1"),
            target("t1", ["a1"])._replace(software="v2"),
        )
        self.scheduler.submit(self.job()._replace(software="v1"))
        (want,) = self.scheduler.report({}).wants
        self.assertEqual(want.excluded_targets, ["t1"])

    def test_unknown_software_is_no_software_in_common(self):
        self.targets(target("t0", ["a1"]), target("t1", ["a1"]))
        job = self.job()._replace(software="")
        self.assertIsNone(self.scheduler.submit(job).placement)


if __name__ == "__main__":
    unittest.main()
