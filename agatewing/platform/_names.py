"""Names on the users' platform: headers, paths, topics, field values.

Header names are in lower case. Comments say what a name means where the
platform's own word misleads.
"""

#: Path of the readiness check by the load balancer.
READY_PATH = "/-/ready"

#: Id of one attempt of a caller; targets echo it in their answers.
REQUEST_ID = b"x-request-id"
#: Time left until the deadline of the answer, in milliseconds.
DEADLINE = b"x-deadline-ms"
#: Id of the target that the request is meant for; any other answers with
#: MOVED_STATUS and does not run it.
EXPECT_TARGET = b"x-expect-instance"
#: Signature of the target that answered.
SIGNATURE = b"x-server-stamp"
#: Present in an answer if the target did not run the request.
NOT_RUN = b"x-not-executed"
#: Requests a second, a decimal number, that a target takes from all
#: instances together; in its answers for as long as that holds.
REQUEST_LIMIT = b"server-limit"
#: Seconds, with or without a fraction. In an answer with status 503: for how
#: long the target wants no requests from the instance.
RETRY_AFTER = b"retry-after"
#: Present in all answers of a target that leaves.
LEAVING = b"server-leaving"
#: Model that the request is for.
MODEL = b"x-model"
#: Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = b"x-token-count"
#: Not a hash: the prefix blocks of the prompt in order, as ID:TOKENS,
#: separated by commas.
PREFIX_BLOCKS = b"x-prefix-hash"
#: Not a length of the body: the caller's estimate of the output tokens.
LENGTH_HINT = b"x-length-hint"
#: Priority at an engine; 0 is served first.
PRIORITY = b"x-request-priority"
#: Role in which an engine is to serve the request; set to PREFILL for a
#: prefill only, otherwise absent.
STAGE = b"x-stage"
#: KV cache that a decode engine fetches before it starts, as
#: IP:PORT/HANDLE.
KV_SOURCE = b"x-kv-source"
#: Id of the last event of a stream that the caller has received.
LAST_EVENT_ID = b"last-event-id"
#: Id of the caller's attempt that brought the first event of the stream which
#: this attempt takes up.
RESUMES = b"resumes"

#: Key of a client account. It is never passed on.
ACCOUNT_KEY = b"x-api-key"
#: Name of the client account, the platform's tenant.
ACCOUNT = b"x-tenant"
#: Headers that are replaced where the configuration names accounts.
ACCOUNT_HEADERS = frozenset((ACCOUNT_KEY, ACCOUNT))

#: Headers that only the system may set on a request to a target; those that
#: a caller sent are removed.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECT_TARGET,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        # Never set by the system itself.
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-pin-ms",
        # Address of an engine that has a longer prefix of the prompt cached.
        b"kv-fetch",
    )
)

#: Status with which a target answers if EXPECT_TARGET names another one; it
#: has not run the request.
MOVED_STATUS = 421

#: Roles: values of STAGE and of the field ``stage`` of an engine's entry.
PREFILL = "prefill"
DECODE = "decode"

#: Path of orders for numbers of engines.
CAPACITY_PATH = "/scale"

#: Values of the field ``state`` of a target's entry.
READY = "ready"
DRAINING = "draining"

#: Path prefix of KV cache handles; DELETE frees the cache.
KV_HANDLE_PATH = "/-/kv-handle/"

#: Path of orders to an engine, and the value of the field ``op`` of an order
#: to change the role, the only order sent.
ORDER_PATH = b"/-/order"
ORDER_OP_STAGE = "stage"

#: Era of the log, in all its answers, which rises by one each time that it is
#: restored from an older copy.
STORE_ERA = "store-era"

#: Topics of the log; each has one partition, number 0.
TOPIC_CONFIGURATION = "keyed.op"
TOPIC_TARGETS = "keyed.servers"
TOPIC_INSTANCES = "keyed.instances"
TOPIC_ORDERS = "keyed.orders"
TOPIC_USAGE = "keyed.usage"
TOPIC_CAPACITY = "keyed.capacity"
TOPIC_VERSIONS = "keyed.versions"
TOPIC_STREAMS = "keyed.streams"
#: Key of the configuration in TOPIC_CONFIGURATION.
CONFIGURATION_KEY = "config"

#: Duties, as the settings name them, and the path of reports of usage.
DUTY_USAGE = "usage_report"
DUTY_CAPACITY = "autoscale"
USAGE_PATH = "/usage"
