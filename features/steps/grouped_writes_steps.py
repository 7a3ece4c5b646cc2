"""Steps on writes that are made together."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import ConditionFailedError, GroupedWrites, Put, StoreItem

LONG_S = 30.0


class CountingStore:
    """Items by key; each write is one call."""

    def __init__(self, loses=False):
        self.loses = loses
        self.items = {}
        self.revision = 0
        self.calls = 0
        self.lock = threading.Lock()

    def transact(self, conditions, puts):
        with self.lock:
            self.calls += 1
            if self.loses:
                raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "lost")
            present = {key: self.items[key] for key in conditions if key in self.items}
            for key, revision in conditions.items():
                if (present[key].revision if key in present else 0) != revision:
                    raise ConditionFailedError(present)
            self.revision += 1
            for put in puts:
                self.items[put.key] = StoreItem(put.key, put.value, self.revision)
            return self.revision


@given("a store that counts its calls")
def counting(context):
    context.store = CountingStore()


@given("a store that loses its answer")
def losing(context):
    context.store = CountingStore(loses=True)


@given("a store whose call fails by a fault of its client")
def faulty(context):
    context.store = CountingStore()
    context.store.transact = None


@then("none is left waiting")
def none_waiting(context):
    assert len(context.results) == 3 and all(context.results), context.results


def write_all(context, count):
    """Make writes on threads that begin together, as those of a sweep do."""
    writes = GroupedWrites(context.store)
    writes.expect(count)

    def write(number):
        try:
            return writes.write(Put(f"key-{number}", b"new"), 0, urgent=False)
        except (AspengateError, TypeError) as error:
            return error
        finally:
            writes.finish_expected()

    with ThreadPoolExecutor(count) as pool:
        context.results = list(pool.map(write, range(count)))


@when("{count:d} writes are expected and come at about the same time")
def together(context, count):
    import aspengate.store._grouped as grouped

    usual, grouped._GROUP_WINDOW_S = grouped._GROUP_WINDOW_S, LONG_S
    try:
        write_all(context, count)
    finally:
        grouped._GROUP_WINDOW_S = usual


@then("all are done by {calls:d} call")
@then("all are done by {calls:d} calls")
def done_by(context, calls):
    assert all(isinstance(result, int) for result in context.results), context.results
    assert context.store.calls == calls, context.store.calls


@when("{count:d} writes are expected and only an urgent one comes")
def only_urgent(context, count):
    import aspengate.store._grouped as grouped

    usual, grouped._GROUP_WINDOW_S = grouped._GROUP_WINDOW_S, LONG_S
    try:
        writes = GroupedWrites(context.store)
        writes.expect(count)
        begun = time.monotonic()
        writes.write(Put("key-1", b"new"), 0, urgent=True)
        context.took_s = time.monotonic() - begun
    finally:
        grouped._GROUP_WINDOW_S = usual


@then("it is done before the time to gather is over")
def done_before(context):
    assert context.took_s < LONG_S / 2, context.took_s


@when("{count:d} writes are made together and one item has changed before")
def one_changed(context, count):
    context.store.items["key-1"] = StoreItem("key-1", b"other", 7)
    together(context, count)


@then("that one fails with the present item, and the others are done")
def one_fails(context):
    failed = context.results[1]
    assert isinstance(failed, ConditionFailedError), failed
    assert failed.items["key-1"].value == b"other"
    assert [context.store.items[f"key-{number}"].value for number in (0, 2)] == [b"new"] * 2


@then("all end with an unknown outcome")
def all_unknown(context):
    kinds = {getattr(result, "kind", None) for result in context.results}
    assert kinds == {ErrorKind.OUTCOME_UNKNOWN}, context.results
