"""The operator, which writes configurations, evacuations and rollout orders to the store."""

import copy

HOST = "board.example"
KEY = "key-one"


def route(prefix, service, kind="idempotent", **fields):
    made = {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5_000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "gapAimMs": 400,
    }
    made.update(fields)
    return made


FIRST_CONFIGURATION = {
    "configVersion": 1,
    "routes": [
        route("/status/", "portal", "non_idempotent", maxAttempts=1),
        route("/receipt/", "portal"),
        route("/score/", "engine", "streaming", resumable=True),
        route("/review/", "engine", "streaming", maxAttempts=1),
    ],
    "services": [
        {"name": "portal", "healthPath": "/health", "maxConns": 100, "protocol": "h1"},
        {
            "name": "engine",
            "healthPath": "/health",
            "maxConns": 360,
            "protocol": "h1",
            "engine": {"slots": 64, "kvCapacity": 400_000, "stride": 3, "models": [{"name": "m"}]},
        },
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 65_536,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [
        {"name": "board", "apiKeys": [KEY, "key-two"], "priority": 1, "prepaid": 1_000_000},
        {"name": "shop", "apiKeys": ["key-three"], "priority": 1, "prepaid": 1_000_000},
    ],
}


class Operator:
    """Holds the latest configuration and writes each change as a higher version."""

    def __init__(self, store):
        self.store = store
        self.configuration = copy.deepcopy(FIRST_CONFIGURATION)

    def write(self):
        return self.store.put("op/config", self.configuration)

    def change(self, change):
        """Apply a function to a copy of the configuration and write it; return its version."""
        changed = copy.deepcopy(self.configuration)
        change(changed)
        changed["configVersion"] += 3
        self.configuration = changed
        self.write()
        return changed["configVersion"]

    def set_prepaid(self, tenant, prepaid):
        def apply(configuration):
            for each in configuration["tenants"]:
                if each["name"] == tenant:
                    each["prepaid"] = prepaid

        return self.change(apply)

    def add_route(self, made):
        return self.change(lambda configuration: configuration["routes"].append(made))

    def limit_cold_replicas(self, service, *, per_second, start_s):
        """Limit the requests per second to each cold replica of a service."""

        def apply(configuration):
            for each in configuration["services"]:
                if each["name"] == service:
                    each.update(coldPerS=per_second, coldStartS=start_s)

        return self.change(apply)

    def evacuate(self, domain):
        """Request the evacuation of a failure domain; return the store revision."""
        return self.store.put(f"op/evacuate/{domain}", {})

    def end_evacuation(self, domain):
        self.store.remove(f"op/evacuate/{domain}")

    def order_rollout(self, service, target_version, duration_s):
        """Order that a service's traffic be moved to a version; return the store revision."""
        order = {"service": service, "targetVersion": target_version, "durationS": duration_s}
        return self.store.put(f"op/rollout/{service}", order)

    def withdraw_rollout(self, service):
        self.store.remove(f"op/rollout/{service}")

    def rollout_status(self, service):
        """Return the status that the routers have written, or None."""
        return self.store.value(f"status/rollout/{service}")

    def rollout_state(self, service):
        """Return the state in the status that the routers have written, or an empty text."""
        return (self.rollout_status(service) or {}).get("state", "")

    def revoke(self, key):
        def apply(configuration):
            for each in configuration["tenants"]:
                each["apiKeys"] = [kept for kept in each["apiKeys"] if kept != key]

        return self.change(apply)
