"""Every name that the users' platform gives to headers, paths and words."""

#: Path that the balancer asks for readiness.
READY_PATH = "/-/ready"

#: Id of one attempt of a caller; echoed by targets.
REQUEST_ID = b"x-request-id"
#: Milliseconds that are left for the answer.
DEADLINE = b"x-deadline-ms"
#: Id of the target that must be the one to run a request.
EXPECT_TARGET = b"x-expect-instance"
#: Signature of a target under its answer.
SIGNATURE = b"x-server-stamp"
#: Says that a target did not run the request.
NOT_RUN = b"x-not-executed"
#: Model asked for.
MODEL = b"x-model"
#: Prompt tokens and most output tokens, with a comma between.
TOKEN_COUNT = b"x-token-count"
#: Not a hash: the parts of the prompt as ID:TOKENS, with commas between.
PARTS = b"x-prefix-hash"
#: The caller's estimate of the output tokens.
LENGTH_HINT = b"x-length-hint"
#: Urgency at an engine, 0 first.
PRIORITY = b"x-request-priority"
#: Asks an engine to process the prompt only.
STAGE = b"x-stage"
#: KV cache that an engine fetches first, as IP:PORT/HANDLE.
KV_SOURCE = b"x-kv-source"
#: Last event of a stream that a caller has.
LAST_EVENT_ID = b"last-event-id"

#: Headers that only the system may set, besides those of one connection.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECT_TARGET,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-fetch",
    )
)

#: Status of a target that is not the one named in EXPECT_TARGET.
MOVED_STATUS = 421

#: Value of STAGE, and of the field ``stage`` of an engine's entry.
PREFILL = "prefill"
DECODE = "decode"

#: Values of the field ``state`` of an entry.
READY = "ready"
DRAINING = "draining"

#: Path under which a KV cache is freed.
FREE_HANDLE = "/-/kv-handle/"

#: Path of orders to an engine, and the one order that is given.
ORDER = b"/-/order"
ORDER_ROLE = "stage"

#: Topics of the log; each has one partition.
TOPIC_CONFIGURATION = "keyed.op"
TOPIC_TARGETS = "keyed.servers"
TOPIC_INSTANCES = "keyed.instances"
TOPIC_ORDERS = "keyed.orders"
#: Key of the configuration in its topic.
CONFIGURATION_KEY = "config"
