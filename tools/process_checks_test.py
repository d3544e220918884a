"""Unit tests of the checks in process-test: each must report its violation."""

import importlib.util
import os
import unittest
from importlib.machinery import SourceFileLoader
from types import SimpleNamespace

from process_cluster import (BLOCK_BYTES, Completion, Payment, check_payments,
                             expected_answer)

TOOLS = os.path.dirname(os.path.abspath(__file__))
# process-test has no .py suffix, so its loader must be given explicitly.
LOADER = SourceFileLoader("process_test", os.path.join(TOOLS, "process-test"))
SPEC = importlib.util.spec_from_loader("process_test", LOADER)
process_test = importlib.util.module_from_spec(SPEC)
LOADER.exec_module(process_test)


def payment(*answers):
    job = Payment(None, None, "pando", "k")
    job.answers = list(answers)
    return job


def completion(prompt, text):
    job = Completion(None, None, "pando", prompt, 3)
    job.text = text
    job.done = True
    return job


class PaymentChecks(unittest.TestCase):
    def faults(self, count, *answers):
        return check_payments([payment(*answers)], {"pando/k": count})

    def test_reports_a_doubled_execution(self):
        self.assertIn("ran 2 times", self.faults(2, "done")[0])

    def test_reports_a_wrong_not_run(self):
        self.assertIn("but ran", self.faults(1, "not_run", "not_run")[0])
        self.assertIn("but ran", self.faults(1, "refused", "not_run")[0])

    def test_reports_an_answer_without_execution(self):
        self.assertIn("never ran", self.faults(0, "done")[0])

    def test_accepts_what_is_allowed(self):
        for count, answers in ((1, ["done"]), (0, ["not_run"]),
                               (1, ["broken", "done"]), (1, ["unknown"]),
                               (0, ["unknown"]), (1, ["broken", "not_run"]),
                               (1, ["unknown", "not_run"])):
            self.assertEqual([], self.faults(count, *answers))


class CompletionChecks(unittest.TestCase):
    def test_reports_text_of_another_prompt_or_version(self):
        prompt = "a" * BLOCK_BYTES + "rest"
        right = expected_answer(prompt, "v1", 3)
        self.assertTrue(completion(prompt, right).right())
        for text in (expected_answer(prompt, "v2", 3), right[:-8], right + "x",
                     expected_answer("b" * BLOCK_BYTES + "rest", "v1", 3),
                     right[8:16] + right[:8] + right[16:]):
            self.assertFalse(completion(prompt, text).right())


class BreakChecks(unittest.TestCase):
    def faults(self, allowed=(), stops=(), broken=(), stream_errors=()):
        job = SimpleNamespace(broken=list(broken),
                              stream_errors=list(stream_errors))
        load = SimpleNamespace(completions=[job], payments=[])
        test = process_test.Test(None, load)
        test.allowed += allowed
        test.stops += stops
        test.check_breaks()
        return test.faults

    def test_reports_breaks_of_hosts_that_were_neither_killed_nor_paused(self):
        broken = [("host-1", True, "reset", 5)]
        self.assertEqual([], self.faults([("host-1", 4, 6)], [], broken))
        self.assertIn("was broken", self.faults([("host-2", 4, 6)], [],
                                                broken)[0])
        self.assertIn("was broken", self.faults([("host-1", 1, 4)], [],
                                                broken)[0])

    def test_reports_requests_cut_off_by_a_planned_stop(self):
        stops = [("host-1", 4, 6)]
        self.assertIn("cut off", self.faults(
            [], stops, [("host-1", False, "reset", 5)])[0])
        self.assertIn("cut off", self.faults(
            [], stops, [], [("host-1", 204, 5)])[0])
        self.assertEqual([], self.faults([], stops, [], [("host-2", 400, 5)]))


if __name__ == "__main__":
    unittest.main()
