"""Name the headers and paths of the platform."""

from __future__ import annotations

READY = '/tamarackthread/readiness'
# ``{target}`` is one start of a target.
HEARTBEAT = '/tamarackthread/replicas/{target}/heartbeat'
# In what a target says of itself: when this start of it began.
BORN = 'born'
DEREGISTER = '/tamarackthread/replicas/{target}/deregister'
REPLACE = '/tamarackthread/configuration/replace'
READ = '/tamarackthread/configuration/read'
EVACUATE = '/tamarackthread/evacuation/{zone}/start'
RESTORE = '/tamarackthread/evacuation/{zone}/finish'

# One client attempt: a caller that repeats itself sends another.
CALL_ID = 'Attempt-Id'
# Milliseconds that are left.
DEADLINE = 'Deadline-Ms'
LAST_EVENT_ID = 'Last-Event-Id'
AUTHORIZATION = 'Authorization'
BEARER = 'Bearer '

# Set towards targets: which start of a target is meant, and for whom.
EXPECTED_TARGET = 'Expect-Replica'
ORGANISATION = 'Tenant'

# Set by targets.  The signature marks an answer as the target's own; the
# refusal says that the call did not run.
SIGNATURE = 'Response-Signature'
NOT_EXECUTED = 'Not-Executed'
LOAD = 'Replica-Load'
TARGET = 'Replica-Id'
AT_SERVER = 'At-Server'
# Beside any answer of a target that leaves.
LEAVING = 'Server-Leaving'
# Beside a target's refusal: seconds in which it wants no call of this entry.
RETRY_AFTER = 'Retry-After'
REFUSAL_STATUS = 503
# Beside any answer of a target in need: calls a second from all entries together.
RATE_LIMIT = 'Server-Limit'

# Another target, or other weights, than the call expected.
MISDIRECTED = 421
# A rank has seen a higher fence than the order's.
FENCED = 412

# Of ranks: what one tells of itself, how often its calls chose each expert,
# which experts it holds, and where it takes orders.
REPORT = '/tamarackthread/report'
COUNTS = '/tamarackthread/picked'
PLACEMENT = '/tamarackthread/picked?lists=1'
ORDER = '/tamarackthread/order'
